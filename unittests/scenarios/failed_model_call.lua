-- An engine answers a model call with an error although it has received it. Guards against status
-- 503, which promises that the call has not run.
local platform = start_platform{engines = {{name = "engine-1", data_centre = "lahore"}}}
local nodes = start_nodes(platform, {"lahore"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{}, 0).status, "publish")
wait_served(nodes[1], "assistant/a1")

-- The stand-in answers a body that it cannot interpret with an error.
local failed = completion(nodes[1], "assistant/a1", "odd", {max_tokens = "many"})
expect_equal(502, failed.status, "status: " .. failed.body)
expect_equal("unknown", json_decode(failed.body).outcome, "outcome")
-- No endpoint gets a call for a version that cannot be loaded, so this one has not run.
control(platform["engine-1"], {fail_loads = 1000})
local refused = completion(nodes[1], "assistant/a2", "cold")
expect_equal(503, refused.status, "status: " .. refused.body)
expect_equal("not_run", json_decode(refused.body).outcome, "outcome of a call without its adapter")
