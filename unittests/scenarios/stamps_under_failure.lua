-- 1,200 stamps with fixed keys while nodes are killed and suspended, endpoints drop responses and
-- reject requests, and the log drops responses and has an outage. Callers retry at other nodes.
-- Guards against a stamp that runs twice, one that runs although it was reported as not run, and
-- one that was reported as completed but did not run. The endpoints' execution counts are the
-- reference.
math.randomseed(20261204)
local key_count, window, pace_ms = 1200, 90, 22
local registers = {"register-1", "register-2", "register-3"}
local data_centres = {"lahore", "multan", "peshawar"}
local plains = {}
for index, name in ipairs(registers) do
  plains[index] = {name = name, data_centre = data_centres[index]}
end
local platform = start_platform{plains = plains}
local nodes = start_nodes(platform, data_centres, {region = "punjab"})
wait_ready(nodes)
local text = deployment_text{data_centres = data_centres, region = "punjab"}
expect_equal(200, publish(nodes[1], text, 0).status, "publish")

-- Schedules the failures at fixed times after the start.
local plan, random_index = {}, function() return math.random(3) end
local function at(time_ms, action) plan[#plan + 1] = {time = time_ms, action = action} end
for round = 0, 5 do
  local start, count = round * 4500, math.random(4, 12)
  local killed, endpoint = random_index(), platform[registers[random_index()]]
  at(start + 400, function() control(endpoint, {drop_after_run = count}) end)
  at(start + 800, function() control(platform.log, {lose_answers = 3}) end)
  at(start + 1200, function() control(platform[registers[random_index()]], {refuse = count}) end)
  at(start + 1600, function() signal(nodes[killed].process, "KILL") end)
  at(start + 2000, function()
    nodes[killed] = start_node(platform, {name = "node-" .. killed .. "-" .. round, region = "punjab",
      data_centre = data_centres[killed], peers = {nodes[killed % 3 + 1].peers}})
  end)
  at(start + 2400, function()
    control(platform[registers[random_index()]], {silent_after_run = 4})
  end)
  if round % 2 == 0 then
    -- Longer than the lease plus its margin, so that the node's claims expire while it is
    -- suspended.
    local frozen = nodes[killed % 3 + 1]
    at(start + 700, function() frozen = nodes[killed % 3 + 1]; signal(frozen.process, "STOP") end)
    at(start + 6200, function() signal(frozen.process, "CONT") end)
  else
    at(start + 2600, function() control(platform.log, {outage = true}) end)
    at(start + 4200, function() control(platform.log, {outage = false}) end)
  end
end
table.sort(plan, function(left, right) return left.time < right.time end)

-- One caller per key. It retries at the next node if no response arrived; after `unknown` and
-- `not_run` only if `repeats` is set, which depends on the key.
local function send(caller)
  caller.node = caller.node % 3 + 1
  caller.attempts = caller.attempts + 1
  caller.handle = begin_call(nodes[caller.node].callers, "POST", "/services/register/stamps",
    caller.body, {["Idempotency-Key"] = caller.key, ["X-Deadline-Ms"] = "3000"}, 5500)
end

local function outcome_of(caller, state)
  if state.error ~= "" or state.status == 0 then return "no_answer" end
  if state.status ~= 200 then return json_decode(state.body).outcome end
  expect_equal("completed", state.headers["X-Outcome"], "outcome of " .. caller.key)
  expect_equal(caller.key, json_decode(state.body).key, "key in the answer")
  return "completed"
end

-- Returns true when the caller has its final outcome.
local function step(caller)
  local state = http_state(caller.handle)
  if not state.ended then return false end
  caller.last = outcome_of(caller, state)
  caller.history = caller.history .. string.format(" %s=%s", nodes[caller.node].name,
    caller.last == "not_run" and json_decode(state.body).reason or caller.last)
  local wants_more = caller.last == "no_answer" or caller.last ~= "completed" and caller.repeats
  if wants_more and caller.attempts < 6 then
    send(caller)
    return false
  end
  return true
end

local open, ended, begun, next_step, started = {}, {}, 0, 1, now_ms()
eventually("all callers to end", function()
  local elapsed = now_ms() - started
  while plan[next_step] and plan[next_step].time <= elapsed do
    plan[next_step].action()
    next_step = next_step + 1
  end
  while begun < key_count and #open < window and begun * pace_ms <= elapsed do
    begun = begun + 1
    local caller = {key = "stamp-" .. begun, body = json_encode({stamp = begun}), attempts = 0,
                    node = random_index(), repeats = begun % 3 ~= 0, history = ""}
    send(caller)
    open[#open + 1] = caller
  end
  local still = {}
  for _, caller in ipairs(open) do
    local list = step(caller) and ended or still
    list[#list + 1] = caller
  end
  open = still
  return #ended == key_count and not plan[next_step]
end, 200000)

-- Waits until the nodes have no open exchange: then no call is in flight, so nothing can run later.
for _, node in ipairs(nodes) do
  eventually(node.name .. " to have no call in flight", function()
    return metric(node, "exchanges_open") <= 1
  end)
end
local runs, tally = executions(platform, registers), {}
for _, caller in ipairs(ended) do
  local count = runs[caller.key] or 0
  tally[caller.last] = (tally[caller.last] or 0) + 1
  expect(count <= 1, caller.key .. " ran " .. count .. " times:" .. caller.history)
  if caller.last == "completed" then expect_equal(1, count, "runs of completed " .. caller.key) end
  if caller.last == "not_run" then
    expect_equal(0, count, "runs of refused " .. caller.key .. ":" .. caller.history)
  end
end
for name, count in pairs(tally) do print(name, count) end
expect((tally.completed or 0) > key_count / 3, "a fair share of the stamps is completed")
expect((tally.not_run or 0) > 0, "some stamps are refused")
