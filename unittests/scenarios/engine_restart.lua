-- An engine restarts without its adapters during streams. Guards against a response that is cut
-- off, that repeats or skips a token, or that continues from another adapter.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}, {name = "engine-2", data_centre = "lahore"}}}
local nodes = start_nodes(platform, {"lahore"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{}, 0).status, "publish")
wait_served(nodes[1], "assistant/a1")

local whole = expect_whole(completion(nodes[1], "assistant/a1", "long", {max_tokens = 200}),
                           "assistant/a1@1", 200)
local streams = {}
for number = 1, 4 do
  streams[number] = begin_completion(nodes[1], "assistant/a1", "long", {max_tokens = 200})
end
eventually("the streams to run", function()
  for _, stream in ipairs(streams) do
    if #read_stream(http_state(stream)).events < 20 then return false end
  end
  return true
end)
control(platform["engine-1"], {restart = true})
control(platform["engine-2"], {restart = true})
for _, stream in ipairs(streams) do
  expect_equal(whole, expect_whole(finish_call(stream), "assistant/a1@1", 200), "text after a restart")
end
