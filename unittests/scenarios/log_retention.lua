-- The log retains few records, so that the nodes' state outlives the records it was read from.
-- Guards against a configuration, a session or an outcome that is lost when the nodes are replaced.
local platform = start_platform{log = "retention = 40\n",
                                plains = {{name = "register-1", data_centre = "lahore"}}}
local nodes = start_nodes(platform, {"lahore", "multan"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{adapters = 4}, 0).status, "publish")
local text = operator(nodes[1], "GET", "/v1/text").body
eventually("the register to be reachable", function() return stamp(nodes[1], "warm-up").status == 200 end)
local answers = {}
for number = 1, 15 do
  answers[number] = stamp(nodes[1 + number % 2], "key-" .. number).body
end
-- Session renewals alone exceed the retention of their stream several times.
local function first_kept()
  return json_decode(get(platform.log, "/v1/streams/members/records?from=0&limit=1&wait_ms=0").body).first
end
eventually("old records to be dropped", function() return first_kept() > 120 end)

local late = start_node(platform, {name = "late", data_centre = "lahore", peers = {nodes[1].peers}})
wait_ready{late}
expect_equal(text, operator(late, "GET", "/v1/text").body, "text at a node that starts late")
for _, node in ipairs(nodes) do signal(node.process, "KILL") end
signal(late.process, "KILL")
local fresh = start_node(platform, {name = "fresh", data_centre = "lahore"})
wait_ready{fresh}
expect_equal(text, operator(fresh, "GET", "/v1/text").body, "text after all nodes were replaced")
for number = 8, 15 do
  expect_equal(answers[number], stamp(fresh, "key-" .. number).body, "outcome of key " .. number)
end
for key, count in pairs(executions(platform, {"register-1"})) do
  expect_equal(1, count, "executions of " .. key)
end
