-- The store is down and then slow for a long time. Guards against resident adapters that are not
-- served, callers of other adapters that wait until their deadline or get no Retry-After, and a
-- burst of loads when the store recovers.
local per_second, concurrent = 40, 6 -- as in the deployment; the store rejects above 50 per second
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore", slots = 8},
             {name = "engine-2", data_centre = "lahore", slots = 8}}}
local nodes = start_nodes(platform, {"lahore", "multan"}, {region = "punjab"})
wait_ready(nodes)
local text = deployment_text{data_centres = {"lahore", "multan"}, region = "punjab", adapters = 60}
expect_equal(200, publish(nodes[1], text, 0).status, "publish")
for _, node in ipairs(nodes) do wait_served(node, "assistant/a1") end

local function wave(first, last, deadline_ms)
  local handles = {}
  for number = first, last do
    local adapter = "assistant/a" .. number
    handles[#handles + 1] = {model = adapter .. "@1", handle = begin_completion(
      nodes[number % 2 + 1], adapter, "wave", {deadline_ms = deadline_ms})}
  end
  return handles
end


-- Above the scenario's own time limit, so that a request that waits for its deadline fails it.
local deadline_ms = 120000
local function expect_refused(handles)
  for _, item in ipairs(handles) do
    local state = finish_call(item.handle)
    expect_equal(503, state.status, item.model .. " without the store: " .. state.body .. state.error)
    expect(tonumber(state.headers["Retry-After"]), "a rejection carries Retry-After")
    expect_equal("not_run", json_decode(state.body).outcome, "outcome for " .. item.model)
  end
end

control(platform.store, {down = true})
local before = control(platform.store, {}).loads
local waiters = wave(2, 25, deadline_ms)
for round = 1, 20 do
  local node = nodes[round % 2 + 1]
  expect_whole(completion(node, "assistant/a1", "resident " .. round), "assistant/a1@1", 8)
end
expect_refused(waiters)
expect_equal(before, control(platform.store, {}).loads, "loads while the store is down")

-- Callers return as soon as the store recovers: loads must not exceed the rate and the limit.
control(platform.store, {down = false})
local callers = wave(2, 60, 60000)
for _, item in ipairs(callers) do
  expect_whole(finish_call(item.handle), item.model, 8)
end
local after = control(platform.store, {})
expect_equal(nil, after["refused: over the load rate"], "loads above the store's rate")
expect(after.most_in_transit <= concurrent, "at most " .. concurrent .. " loads at once, got " ..
       after.most_in_transit)
control(platform.store, {slow = 40})
waiters = wave(26, 33, deadline_ms)
for round = 1, 20 do
  local resident = json_decode(get(platform["engine-1"], "/v1/state").body).resident
  expect(#resident > 0, "an engine keeps adapters while the store is slow")
end
control(platform.store, {slow = 1})
for _, item in ipairs(waiters) do
  local state = finish_call(item.handle)
  if state.status == 200 then
    expect_whole(state, item.model, 8)
  else
    expect(tonumber(state.headers["Retry-After"]), "a rejection carries Retry-After")
  end
end
for _, node in ipairs(nodes) do expect_equal(0, metric(node, "wrong_model_total"), "wrong models") end
