-- The entry node of a stream is killed, and the caller resumes at another node with the last
-- position that it received. Guards against a resumed response that repeats or skips a token.
local platform = start_platform{engines = {{name = "engine-1", data_centre = "lahore"}}}
local first = start_node(platform, {name = "first", data_centre = "lahore"})
wait_ready{first}
expect_equal(200, publish(first, deployment_text{}, 0).status, "publish")
wait_served(first, "assistant/a1")
local second = start_node(platform, {name = "second", data_centre = "lahore", peers = {first.peers}})
wait_ready{second}
local whole = expect_whole(completion(second, "assistant/a1@1", "long", {max_tokens = 150}),
                           "assistant/a1@1", 150)

local stream = begin_completion(first, "assistant/a1@1", "long", {max_tokens = 150})
eventually("the stream to run", function() return #read_stream(http_state(stream)).events >= 20 end)
signal(first.process, "KILL")
local broken = read_stream(finish_call(stream))
expect(not broken.done, "the first answer was cut off by the kill")
local text, count = "", #broken.events
for _, event in ipairs(broken.events) do text = text .. event.text end
local rest = eventually("the rest at the other node", function()
  local state = completion(second, "assistant/a1@1", "long",
                           {max_tokens = 150, last_event_id = broken.events[count].id})
  return state.status == 200 and state
end)
expect_equal(whole, text .. expect_whole(rest, "assistant/a1@1", 150 - count, count), "the whole text")
