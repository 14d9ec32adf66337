-- The owner is suspended for longer than its lease and then resumed. Guards against two owners that
-- send orders to the same endpoint, against a wrong adapter, and against a stream that is cut off.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore", slots = 2}}}
local owner = start_node(platform, {name = "owner", data_centre = "lahore"})
wait_ready{owner}
expect_equal(200, publish(owner, deployment_text{adapters = 6}, 0).status, "publish")
wait_served(owner, "assistant/a1")
local entry = start_node(platform, {name = "entry", data_centre = "lahore", peers = {owner.peers}})
wait_ready{entry}

-- Calls for six adapters on two slots, so that the suspended owner has loads and evictions in
-- flight.
local streams = {}
for number = 1, 12 do
  local adapter = "assistant/a" .. ((number - 1) % 6 + 1)
  streams[number] = {adapter = adapter .. "@1",
                     handle = begin_completion(entry, adapter, "p" .. number, {max_tokens = 30})}
end
signal(owner.process, "STOP")
eventually("the other node to own the endpoint", function()
  return metric(entry, "endpoints_owned") == 1
end)
local after = begin_completion(entry, "assistant/a4", "after", {max_tokens = 100})
signal(owner.process, "CONT")
expect_whole(finish_call(after), "assistant/a4@1", 100)
for _, stream in ipairs(streams) do
  expect_whole(finish_call(stream.handle), stream.adapter, 30)
end
expect_equal(0, metric(entry, "wrong_model_total"), "events of a wrong adapter")
eventually("the former owner to have a new session", function()
  return read_file(owner.log):match("event=session_lost")
end)
