-- Two operators publish changes with the same base revision at two nodes. Guards against a lost
-- update: exactly one change is accepted, the other is rejected with the conflicting sections, and
-- all nodes converge.
local platform = start_platform{}
local nodes = start_nodes(platform, {"lahore", "multan", "peshawar"})
wait_ready(nodes)
local all = {"lahore", "multan", "peshawar"}
expect_equal(200, publish(nodes[1], deployment_text{all_data_centres = all}, 0).status, "publish")
for round = 1, 10 do
  local base = status(nodes[1]).revision
  local texts = {}
  for index = 1, 2 do
    -- Both change the same sections, each to a value that no earlier round used.
    texts[index] = deployment_text{all_data_centres = all, versions = "1, 2, " .. round * 10 + index}
  end
  local headers = {Authorization = "Bearer " .. token}
  local handles = {}
  for index, text in ipairs(texts) do
    handles[index] = begin_call(nodes[index].operators, "POST", "/v1/publish?base=" .. base, text, headers)
  end
  local won, lost = 0, 0
  for _, handle in ipairs(handles) do
    local answer = finish_call(handle)
    if answer.status == 200 then won = won + 1 end
    if answer.status == 409 then
      lost = lost + 1
      expect(#json_decode(answer.body).conflicts > 0, "the conflict names its sections")
    end
  end
  expect_equal(1, won, "winners in round " .. round)
  expect_equal(1, lost, "losers in round " .. round)
end
local function text_of(node) return operator(node, "GET", "/v1/text").body end
eventually("all nodes to converge", function()
  return text_of(nodes[1]) == text_of(nodes[2]) and text_of(nodes[2]) == text_of(nodes[3])
end)
expect_equal(operator(nodes[1], "GET", "/v1/history").body, operator(nodes[3], "GET", "/v1/history").body,
             "history")
local wrong = call(nodes[1].operators, "POST", "/v1/publish?base=0", "x", {Authorization = "Bearer no"})
expect_equal(401, wrong.status, "publish with a wrong token")
expect_equal(404, call(nodes[1].callers, "POST", "/v1/publish?base=0", "x",
                       {Authorization = "Bearer " .. token}).status, "publish at the callers' address")
