-- The open connections to an engine permanently stop delivering data while new ones work. Guards
-- against a stream that hangs, or that repeats or skips a token when it is resumed.
local platform = start_platform{engines = {{name = "engine-1", data_centre = "lahore"}}}
local nodes = start_nodes(platform, {"lahore"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{}, 0).status, "publish")
wait_served(nodes[1], "assistant/a1")

local stream = begin_completion(nodes[1], "assistant/a1", "long", {max_tokens = 200})
eventually("the stream to run", function() return #read_stream(http_state(stream)).events >= 20 end)
control(platform["engine-1"], {silent = true})
expect_whole(finish_call(stream), "assistant/a1@1", 200)
expect(metric(nodes[1], "stream_reconnects_total") >= 1, "the stream was resumed on a new connection")
