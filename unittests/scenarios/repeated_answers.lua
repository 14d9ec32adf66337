-- A plain service sends a second copy of each answer, late, where the next answer on the connection
-- is due. Guards against a caller that gets another caller's answer, and against a stamp whose lost
-- answer is looked up and recorded as that of another key.
local platform = start_platform{plains = {{name = "register-1", data_centre = "lahore"}}}
local node = start_node(platform, {name = "node", data_centre = "lahore"})
wait_ready{node}
expect_equal(200, publish(node, deployment_text{}, 0).status, "publish")
eventually("the register to be reachable", function() return stamp(node, "warm-up").status == 200 end)

control(platform["register-1"], {repeat_answers = true})
for number = 1, 20 do
  local path = "/lookups/" .. number
  local answer = get(node.callers, "/services/register" .. path)
  expect_equal(200, answer.status, "status of " .. path)
  expect_equal(path, json_decode(answer.body).path, "path in the answer to " .. path)
end

for number = 1, 5 do
  local key = "lost-" .. number
  control(platform["register-1"], {drop_after_run = 1})
  local answer = stamp(node, key)
  expect_equal(200, answer.status, "stamp " .. key .. " after its answer was lost")
  expect_equal(key, json_decode(answer.body).key, "key in the answer to " .. key)
end
