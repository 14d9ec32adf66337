-- A complete move by publishing configurations: the old data centre, both, only the new one; then
-- the old endpoints drain and the old nodes stop. Guards against a stream that is cut off, a wrong
-- adapter, a rejected caller that follows `resolve`, and new requests at drained endpoints.
local engines = {}
for number = 1, 4 do
  engines[number] = {name = "engine-" .. number, data_centre = number < 3 and "lahore" or "multan"}
end
local platform = start_platform{engines = engines}
local old = {start_node(platform, {name = "old-1", data_centre = "lahore", region = "punjab"})}
local new = {}
old[2] = start_node(platform, {name = "old-2", data_centre = "lahore", region = "punjab", peers = {old[1].peers}})
for number = 1, 2 do
  new[number] = start_node(platform, {name = "new-" .. number, data_centre = "multan",
                                      region = "punjab", peers = {old[1].peers}})
end
wait_ready(old)
wait_ready(new)
local both = {"lahore", "multan"}
local function text(data_centres)
  return deployment_text{data_centres = data_centres, all_data_centres = both, region = "punjab"}
end
expect_equal(200, publish(old[1], text{"lahore"}, 0).status, "publish")
for _, node in ipairs{old[1], old[2], new[1], new[2]} do wait_served(node, "assistant/a1") end

-- Callers resolve each call at a node that is running; the lengths of streams differ widely.
local streams, seed = {}, 7
local function begin(at, tokens)
  seed = seed * 1103515245 + 12345 & 0x7fffffff
  local adapter = "assistant/a" .. (seed >> 8) % 3 + 1
  local state = get(at.callers, "/v1/resolve?model=" .. adapter)
  expect_equal(200, state.status, "resolve: " .. state.body .. state.error)
  local address = json_decode(state.body).addresses[1].address
  streams[#streams + 1] = {model = adapter .. "@1", tokens = tokens, handle = begin_completion(
    {callers = address}, adapter, "p" .. #streams, {max_tokens = tokens})}
end
local function flow(nodes, count)
  for number = 1, count do
    begin(nodes[number % #nodes + 1], number % 10 == 0 and 400 or 4 + number % 9)
    sleep_ms(25)
  end
end
flow({old[1], old[2], new[1], new[2]}, 30)
expect_equal(200, publish(new[1], text(both)).status, "publish both")
flow({old[1], old[2], new[1], new[2]}, 60)
expect_equal(200, publish(new[2], text{"multan"}).status, "publish the new one")
control(platform.vms, {leaving = "engine-1"})
control(platform.vms, {leaving = "engine-2"})
flow({old[1], old[2], new[1], new[2]}, 60)
local function runs_at_old()
  return (control(platform["engine-1"], {}).streams or 0) + (control(platform["engine-2"], {}).streams or 0)
end
eventually("the nodes to stop using the old endpoints", function()
  local before = runs_at_old()
  flow(new, 20)
  return runs_at_old() == before
end)
local before = runs_at_old()
for _, node in ipairs(old) do
  signal(node.process, "TERM")
  flow(new, 40)
  expect_equal(0, wait_process(node.process), "exit code of " .. node.name)
end
flow(new, 40)
expect_equal(before, runs_at_old(), "new work at the old endpoints")
for _, item in ipairs(streams) do expect_whole(finish_call(item.handle), item.model, item.tokens) end
for _, node in ipairs(new) do expect_equal(0, metric(node, "wrong_model_total"), "wrong models") end
