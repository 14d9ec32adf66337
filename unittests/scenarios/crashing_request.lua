-- A request crashes each engine that runs it, and its caller retries it at another node. Guards
-- against an unlimited number of crashes, against other callers' streams that are cut off or
-- rejected, and against a response that does not mark the rejection as permanent. Bound from
-- section 12 of the design: the first crash marks the request as suspect; the second, when it runs
-- alone on an engine, quarantines it.
local most_crashes = 2
local data_centres = {"lahore", "multan"}
local engines = {}
for number = 1, 4 do
  engines[number] = {name = "engine-" .. number, data_centre = data_centres[number % 2 + 1]}
end
local platform = start_platform{engines = engines}
local nodes = start_nodes(platform, data_centres, {region = "punjab"})
wait_ready(nodes)
local text = deployment_text{data_centres = data_centres, region = "punjab"}
expect_equal(200, publish(nodes[1], text, 0).status, "publish")
for _, node in ipairs(nodes) do wait_served(node, "assistant/a1") end

local bystanders = {}
for number = 1, 8 do
  local adapter = "assistant/a" .. (number % 3 + 1)
  bystanders[number] = {model = adapter .. "@1", handle = begin_completion(
    nodes[number % 2 + 1], adapter, "bystander " .. number, {max_tokens = 500})}
end
eventually("the bystanders' streams to run", function()
  for _, item in ipairs(bystanders) do
    if #read_stream(http_state(item.handle)).events < 10 then return false end
  end
  return true
end)

local function send_crash(number)
  local state = completion(nodes[number % 2 + 1], "assistant/a1", "CRASH", {deadline_ms = 20000})
  local answer = state.status ~= 200 and json_decode(state.body) or read_stream(state).failure
  expect(type(answer) == "table", "an error, got " .. state.status .. " " .. state.body .. state.error)
  print("answer to the crashing request: " .. answer.reason)
  return answer.reason == "quarantined" and state
end
local sent = 0
local final = eventually("the final refusal", function()
  sent = sent + 1
  return send_crash(sent)
end)
expect_equal(422, final.status, "status of the final refusal")
expect_equal(nil, final.headers["Retry-After"], "Retry-After of a final refusal")
for number, node in ipairs(nodes) do
  eventually(node.name .. " to receive the quarantine", function()
    return metric(node, "requests_quarantined") == 1
  end)
  expect(send_crash(number - 1), "the final refusal at " .. node.name)
end
for _, item in ipairs(bystanders) do expect_whole(finish_call(item.handle), item.model, 500) end
for number, node in ipairs(nodes) do
  expect_whole(completion(node, "assistant/a2", "after " .. number), "assistant/a2@1", 8)
  expect(send_crash(number - 1), "the refusal stays at " .. node.name)
end
local crashes = 0
for _, engine in ipairs(engines) do
  crashes = crashes + (control(platform[engine.name], {}).crashes or 0)
end
expect(crashes <= most_crashes, "at most " .. most_crashes .. " crashes, got " .. crashes)
