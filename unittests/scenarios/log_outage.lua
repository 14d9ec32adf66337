-- The log is down for longer than a lease. Guards against resident adapters that are not served, a
-- stamp that runs without a claim, a configuration change that is accepted, and a node that does
-- not recover.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}},
  plains = {{name = "register-1", data_centre = "lahore"}}}
local nodes = start_nodes(platform, {"lahore", "multan"}, {region = "punjab"})
wait_ready(nodes)
local text = deployment_text{data_centres = {"lahore", "multan"}, region = "punjab"}
expect_equal(200, publish(nodes[1], text, 0).status, "publish")
for _, node in ipairs(nodes) do wait_served(node, "assistant/a1") end

control(platform.log, {outage = true})
eventually("both nodes to detect the outage", function()
  return read_file(nodes[1].log):match("event=log_unreachable") and
    read_file(nodes[2].log):match("event=log_unreachable")
end)
local refused = stamp(nodes[1], "during-outage")
expect_equal(503, refused.status, "a stamp in the outage")
expect_equal("not_run", json_decode(refused.body).outcome, "its outcome")
expect(refused.headers["Retry-After"] ~= nil, "a rejection carries Retry-After")
-- The change may still be appended after the outage, so the response must not be a 503.
expect_equal(504, publish(nodes[1], deployment_text{adapters = 4}).status, "publish in the outage")
-- Longer than the lease plus its margin, so that the owner continues to serve only because the
-- other node has promised not to take over.
sleep_ms(6000)
for _, node in ipairs(nodes) do
  expect_whole(completion(node, "assistant/a1", "in the outage"), "assistant/a1@1", 8)
end
control(platform.log, {outage = false})
eventually("stamps to work again", function() return stamp(nodes[1], "after-outage").status == 200 end)
wait_served(nodes[2], "assistant/a3")
expect_equal(nil, executions(platform, {"register-1"})["during-outage"], "executions in the outage")
