-- The connection between a node and the log permanently stops delivering data, or is closed, during
-- streams and appends. Guards against responses that hang, repeat or skip tokens or get lost, and
-- against a lost claim.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}, {name = "engine-2", data_centre = "lahore"}},
  plains = {{name = "register-1", data_centre = "lahore"}}}
local log_path, log_address = relay(platform.log)
local owner = start_node(platform, {name = "owner", data_centre = "lahore"})
wait_ready{owner}
expect_equal(200, publish(owner, deployment_text{}, 0).status, "publish")
wait_served(owner, "assistant/a1")
-- The entry node connects to the log through the relay.
local entry = start_node(platform, {name = "entry", data_centre = "lahore", log = log_address,
                                    peers = {owner.peers}})
wait_ready{entry}
wait_served(entry, "assistant/a1")

for round, mode in ipairs{"silence_open", "cut", "silence_open"} do
  local stream = begin_completion(entry, "assistant/a1", "round " .. round, {max_tokens = 150})
  eventually("the stream to run", function() return #read_stream(http_state(stream)).events >= 10 end)
  local stamps = {}
  for number = 1, 10 do
    stamps[number] = begin_call(entry.callers, "POST", "/services/register/stamps", "{}",
      {["Idempotency-Key"] = "key-" .. round .. "-" .. number, ["X-Deadline-Ms"] = "10000"})
    if number == 5 then relay_mode(log_path, mode) end
  end
  expect_whole(finish_call(stream), "assistant/a1@1", 150)
  local outcomes = {}
  for number, handle in ipairs(stamps) do
    local state = finish_call(handle)
    expect(state.status ~= 0, "an answer to stamp " .. number .. ": " .. state.error)
    outcomes[number] = state.status == 200 and "completed" or json_decode(state.body).outcome
  end
  relay_mode(log_path, "pass")
  local runs = executions(platform, {"register-1"})
  for number, outcome in ipairs(outcomes) do
    local count = runs["key-" .. round .. "-" .. number] or 0
    expect(count <= 1, "at most one run of stamp " .. number .. ", got " .. count)
    if outcome == "completed" then expect_equal(1, count, "runs of a completed stamp") end
    if outcome == "not_run" then expect_equal(0, count, "runs of a refused stamp") end
  end
  eventually("stamps to work again", function()
    return stamp(entry, "again-" .. round .. "-" .. now_ms()).status == 200
  end)
end
