-- The owner of every endpoint of its region is killed while its streams run through another node.
-- Guards against a stream that is cut off and against endpoints that remain without an owner.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}, {name = "engine-2", data_centre = "lahore"}}}
local owner = start_node(platform, {name = "owner", data_centre = "lahore"})
wait_ready{owner}
expect_equal(200, publish(owner, deployment_text{}, 0).status, "publish")
wait_served(owner, "assistant/a1")
local entry = start_node(platform, {name = "entry", data_centre = "lahore", peers = {owner.peers}})
wait_ready{entry}
wait_served(entry, "assistant/a1")

local stream = begin_completion(entry, "assistant/a1", "long", {max_tokens = 300})
eventually("the stream to run", function() return #read_stream(http_state(stream)).events >= 20 end)
signal(owner.process, "KILL")
expect_whole(finish_call(stream), "assistant/a1@1", 300)
eventually("the other node to own both endpoints", function()
  return metric(entry, "endpoints_owned") == 2
end)
wait_served(entry, "assistant/a2")
