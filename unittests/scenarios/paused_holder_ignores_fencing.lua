-- The owner is suspended during evictions and resumed after the takeover, once with engines that
-- ignore fencing numbers and once with engines that check them. Guards against a late unload that
-- ends a stream of the next owner, a wrong adapter, and a stream that is cut off.
local function run(fencing)
  local engines = {{name = "engine-1", data_centre = "lahore", slots = 3, fencing = fencing},
                   {name = "engine-2", data_centre = "lahore", slots = 3, fencing = fencing}}
  local platform = start_platform{engines = engines}
  local owner = start_node(platform, {name = "owner", data_centre = "lahore"})
  wait_ready{owner}
  expect_equal(200, publish(owner, deployment_text{adapters = 12, fencing = fencing}, 0).status, "publish")
  wait_served(owner, "assistant/a1")
  local entry = start_node(platform, {name = "entry", data_centre = "lahore", peers = {owner.peers}})
  wait_ready{entry}

  local streams = {}
  local function begin(count, tokens)
    for _ = 1, count do
      local number = #streams + 1
      local adapter = "assistant/a" .. number % 12 + 1
      streams[number] = {model = adapter .. "@1", tokens = tokens,
        handle = begin_completion(entry, adapter, "p" .. number, {max_tokens = tokens})}
    end
  end
  local function unloads()
    local count = 0
    for _, engine in ipairs(engines) do
      count = count + (control(platform[engine.name], {}).unloads or 0)
    end
    return count
  end
  begin(24, 20)
  eventually("evictions to be in progress", function() return unloads() >= 2 end)
  signal(owner.process, "STOP")
  eventually("the other node to own the engines", function()
    return metric(entry, "endpoints_owned") == 2
  end)
  begin(12, 60)
  signal(owner.process, "CONT")
  begin(12, 60)
  for _, item in ipairs(streams) do
    expect_whole(finish_call(item.handle), item.model, item.tokens)
  end
  expect_equal(0, metric(entry, "wrong_model_total"), "events of a wrong adapter")
  for _, engine in ipairs(engines) do
    expect_equal(nil, control(platform[engine.name], {}).streams_ended_by_unload,
                 "streams ended by an unload at " .. engine.name)
  end
  for _, process in ipairs{owner.process, entry.process, platform.process} do
    signal(process, "KILL")
    wait_process(process)
  end
end
run(false)
run(true)
