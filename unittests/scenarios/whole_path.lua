-- End-to-end test: publish, resolve, stream from the requested adapter and version, one stamp,
-- graceful stop. Guards against components that work only in isolation.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}, {name = "engine-2", data_centre = "multan"}},
  plains = {{name = "register-1", data_centre = "lahore"}}}
local nodes = start_nodes(platform, {"lahore", "multan"})
wait_ready(nodes)

local answer = publish(nodes[1], deployment_text{data_centres = {"lahore", "multan"}}, 0)
expect_equal(200, answer.status, "publish: " .. answer.body)
expect_equal(0, #json_decode(answer.body).missing, "data centres without the revision")

for _, node in ipairs(nodes) do
  wait_served(node, "assistant/a1")
  expect_whole(completion(node, "assistant/a1", "a fan"), "assistant/a1@1", 8)
  expect_whole(completion(node, "assistant/a2@2", "a fan"), "assistant/a2@2", 8)
end

local resolved = json_decode(get(nodes[2].callers, "/v1/resolve?model=assistant/a1").body)
expect_equal(2, #resolved.addresses, "addresses of resolve")

local unknown = completion(nodes[1], "assistant/a1@9", "a fan")
expect_equal(404, unknown.status, "an unknown version")
expect_equal("unknown_model", json_decode(unknown.body).reason, "reason")
-- Clients of the OpenAI interface read the error object; without it they show a rejection as "no
-- body".
expect_equal("unknown_model", json_decode(unknown.body).error.code, "code of the error object")
expect_equal(json_decode(unknown.body).detail, json_decode(unknown.body).error.message, "message")
local listed = {}
for _, item in ipairs(json_decode(get(nodes[1].callers, "/v1/models").body).data) do
  listed[item.id] = item.object
end
expect_equal("model", listed["assistant/a1"], "the list of models names the adapter")

local first = stamp(nodes[1], "key-1")
expect_equal(200, first.status, "stamp: " .. first.body)
expect_equal("completed", first.headers["X-Outcome"], "outcome")
local again = eventually("the outcome at the other node", function()
  local state = stamp(nodes[2], "key-1")
  return state.status == 200 and state
end)
expect_equal(first.body, again.body, "repeated call at another node")
expect_equal(1, executions(platform, {"register-1"})["key-1"], "executions of key-1")

for _, node in ipairs(nodes) do
  signal(node.process, "TERM")
  expect_equal(0, wait_process(node.process), "exit code of " .. node.name)
end
