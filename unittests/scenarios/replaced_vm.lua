-- A VM that leaves is replaced under its id between two reads of the VM list. Guards against an
-- endpoint that gets no work for good, and against requests to the address of the former VM.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}, {name = "engine-2", data_centre = "lahore"}}}
control(platform.vms, {remove = "engine-2"})
local nodes = start_nodes(platform, {"lahore"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{}, 0).status, "publish")
wait_served(nodes[1], "assistant/a1")
control(platform.vms, {leaving = "engine-1"})
eventually("the node to stop using the VM", function()
  return completion(nodes[1], "assistant/a1", "short", {max_tokens = 1}).status ~= 200
end)
local before = control(platform["engine-1"], {}).streams or 0
control(platform.vms, {add = {id = "engine-1", address = platform["engine-2"], data_centre = "lahore",
                              service = "assistant"}})
wait_served(nodes[1], "assistant/a1")
expect((control(platform["engine-2"], {}).streams or 0) > 0, "streams at the present VM")
expect_equal(before, control(platform["engine-1"], {}).streams or 0, "streams at the former VM")
