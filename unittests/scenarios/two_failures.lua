-- Pairs of simultaneous failures. Guards against guarantees that hold under each failure alone but
-- not under both.
local function stop_all(platform, nodes)
  for _, node in ipairs(nodes) do
    signal(node.process, "KILL")
    wait_process(node.process)
  end
  signal(platform.process, "KILL")
  wait_process(platform.process)
end

-- The engine restarts without its adapters while its owner is killed.
local function restart_and_kill()
  local platform = start_platform{engines = {{name = "engine-1", data_centre = "lahore"},
                                             {name = "engine-2", data_centre = "lahore"}}}
  local owner = start_node(platform, {name = "owner", data_centre = "lahore"})
  wait_ready{owner}
  expect_equal(200, publish(owner, deployment_text{}, 0).status, "publish")
  wait_served(owner, "assistant/a1")
  local entry = start_node(platform, {name = "entry", data_centre = "lahore", peers = {owner.peers}})
  wait_ready{entry}
  for number = 1, 3 do wait_served(entry, "assistant/a" .. number) end
  local streams = begin_streams(entry, 6, 150)
  signal(owner.process, "KILL")
  control(platform["engine-1"], {restart = true})
  expect_all_whole(streams)
  stop_all(platform, {owner, entry})
end

-- The log is down while the owner is suspended during a move; both then recover.
local function outage_and_freeze()
  local platform = start_platform{
    engines = {{name = "old-engine", data_centre = "lahore"}, {name = "new-engine", data_centre = "multan"}},
    plains = {{name = "register-1", data_centre = "multan"}}}
  local both = {"lahore", "multan"}
  local function text(data_centres)
    return deployment_text{data_centres = data_centres, all_data_centres = both, region = "punjab",
                           register_data_centres = {"multan"}}
  end
  local owner = start_node(platform, {name = "owner", data_centre = "lahore", region = "punjab"})
  wait_ready{owner}
  expect_equal(200, publish(owner, text(both), 0).status, "publish")
  wait_served(owner, "assistant/a1")
  local entry = start_node(platform, {name = "entry", data_centre = "multan", region = "punjab",
                                      peers = {owner.peers}})
  wait_ready{entry}
  for number = 1, 3 do wait_served(entry, "assistant/a" .. number) end
  local streams = begin_streams(entry, 6, 200)
  expect_equal(200, publish(entry, text{"multan"}).status, "publish the move")
  signal(owner.process, "STOP")
  control(platform.log, {outage = true})
  eventually("the node to detect the outage", function() return read_file(entry.log):match("log_unreachable") end)
  expect_equal("unknown", json_decode(stamp(entry, "in-outage").body).outcome,
               "a stamp, as the suspended node cannot confirm that it did not run the key")
  control(platform.log, {outage = false})
  signal(owner.process, "CONT")
  expect_all_whole(streams)
  wait_served(entry, "assistant/a2")
  expect_equal(nil, executions(platform, {"register-1"})["in-outage"], "executions of the refused stamp")
  eventually("stamps to work again", function() return stamp(entry, "after").status == 200 end)
  expect_equal(0, metric(entry, "wrong_model_total"), "events of a wrong adapter")
  stop_all(platform, {owner, entry})
end

-- Responses to appends are lost while operators publish concurrently: exactly one change is
-- accepted and each change is counted once.
local function lost_answers_and_race()
  local platform = start_platform{}
  local nodes = start_nodes(platform, {"lahore", "multan"}, {region = "punjab"})
  wait_ready(nodes)
  expect_equal(200, publish(nodes[1], deployment_text{}, 0).status, "publish")
  for round = 1, 5 do
    local base = status(nodes[1]).revision
    control(platform.log, {lose_answers = 4})
    local handles = {}
    for index, node in ipairs(nodes) do
      handles[index] = begin_call(node.operators, "POST", "/v1/publish?base=" .. base,
        deployment_text{versions = "1, 2, " .. round * 10 + index}, {Authorization = "Bearer " .. token})
    end
    local won = 0
    for _, handle in ipairs(handles) do
      local answer = finish_call(handle)
      expect(answer.status == 200 or answer.status == 409, "an answer, got " .. answer.body .. answer.error)
      if answer.status == 200 then won = won + 1 end
    end
    expect_equal(1, won, "winners in round " .. round)
  end
  local changes = json_decode(operator(nodes[1], "GET", "/v1/history").body).changes
  expect_equal(11, #changes, "decided changes: one first text and two in each round")
  eventually("both nodes to agree", function()
    return operator(nodes[1], "GET", "/v1/text").body == operator(nodes[2], "GET", "/v1/text").body
  end)
  stop_all(platform, nodes)
end

restart_and_kill()
outage_and_freeze()
lost_answers_and_race()
