-- Every node is replaced, first one by one and then all at once, and one starts while the log is
-- down. Guards against a configuration that reverts or is lost because it existed only in memory.
local platform = start_platform{}
local nodes = start_nodes(platform, {"lahore", "multan"}, {region = "punjab"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{adapters = 1}, 0).status, "first publish")
expect_equal(200, publish(nodes[1], deployment_text{adapters = 5}).status, "second publish")
local expected = operator(nodes[1], "GET", "/v1/text").body
expect(expected:match("assistant/a5"), "the second text is in force")

for _, node in ipairs(nodes) do signal(node.process, "KILL") end
local fresh = start_nodes(platform, {"lahore", "multan"}, {region = "punjab"})
wait_ready(fresh)
for _, node in ipairs(fresh) do
  expect_equal(expected, operator(node, "GET", "/v1/text").body, "text at " .. node.name)
end
control(platform.log, {outage = true})
local late = start_node(platform, {name = "late", data_centre = "lahore", region = "punjab",
                                   peers = {fresh[1].peers}})
eventually("a node without the log to get the text from a peer", function()
  return operator(late, "GET", "/v1/text").body == expected
end)
