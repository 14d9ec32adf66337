-- A stamp runs through one node; the caller then repeats its idempotency key at a node that cannot
-- read the log. Guards against `not_run` for a key that ran, after which a caller would request a
-- second stamp.
local platform = start_platform{plains = {{name = "register-1", data_centre = "lahore"}}}
local log_path, log_address = relay(platform.log)
local first = start_node(platform, {name = "first", data_centre = "lahore"})
local cut_off = start_node(platform, {name = "cut-off", data_centre = "lahore", log = log_address,
                                      peers = {first.peers}})
wait_ready{first, cut_off}
expect_equal(200, publish(first, deployment_text{}, 0).status, "publish")
eventually("the register to be reachable", function() return stamp(cut_off, "warm-up").status == 200 end)

relay_mode(log_path, "cut")
eventually("the node to detect the outage", function() return read_file(cut_off.log):match("event=log_unreachable") end)
for number = 1, 20 do
  expect_equal(200, stamp(first, "key-" .. number).status, "stamp " .. number)
  local again = stamp(cut_off, "key-" .. number)
  local outcome = again.status == 200 and "completed" or json_decode(again.body).outcome
  expect(outcome ~= "not_run", "no not_run for a key that ran, got " .. again.body)
end
-- A key that no node has seen has not run, and the node reports so immediately.
expect_equal("not_run", json_decode(stamp(cut_off, "never-seen").body).outcome, "outcome of a new key")
