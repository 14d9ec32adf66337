-- Callers send invalid requests. Guards against a node that crashes, that responds without a
-- problem document, that does not count the rejection, or on which one caller delays others.
local platform = start_platform{
  engines = {{name = "engine-1", data_centre = "lahore"}},
  plains = {{name = "register-1", data_centre = "lahore"}}}
local node = start_nodes(platform, {"lahore"})[1]
wait_ready{node}
expect_equal(200, publish(node, deployment_text{}, 0).status, "publish")
wait_served(node, "assistant/a1")

local function refusals(reason)
  local text = get(node.operators, "/metrics").body
  for line in text:gmatch("[^\n]+") do
    local found, value = line:match('^dragonflystair_refusals_total{[%w_]+="([^"]+)"} (%S+)$')
    if found == reason then return tonumber(value) end
  end
  return 0
end

local valid = json_encode{model = "assistant/a1", prompt = "p", max_tokens = 2}
local cases = {
  {"malformed JSON", 400, "malformed_json", body = "{\"model\": "},
  {"broken UTF-8", 400, "malformed_json", body = "{\"model\": \"assistant/a1\", \"prompt\": \"\xc3\x28\"}"},
  {"no model", 400, "missing_model", body = "{\"prompt\": \"p\"}"},
  {"an array", 400, "missing_model", body = "[]"},
  {"a number as model", 400, "missing_model", body = "{\"model\": 3}"},
  {"an unknown adapter", 404, "unknown_model", body = "{\"model\": \"assistant/none\"}"},
  {"a wrong kind of stream", 400, "malformed_request", body = "{\"model\": \"assistant/a1\", \"stream\": 1}"},
  {"a wrong Last-Event-ID", 400, "malformed_request", body = valid, headers = {["Last-Event-ID"] = "-1"}},
  {"a body over the limit", 413, "body_too_large", body = string.rep("x", 1024 * 1024 + 1)},
  {"a header over the limit", 431, "header_too_large", body = valid,
   headers = {["X-Filler"] = string.rep("h", 17 * 1024)}},
  {"a wrong method", 405, "wrong_method", method = "DELETE"},
  {"an unknown path", 404, "unknown_path", target = "/v2/completions", body = valid},
  {"an operator path", 404, "unknown_path", method = "GET", target = "/v1/status"},
  {"metrics", 404, "unknown_path", method = "GET", target = "/metrics"},
  {"publish", 404, "unknown_path", target = "/v1/publish?base=0", body = "x"},
  {"an unknown service", 404, "unknown_service", target = "/services/none/stamps", body = "{}"},
  {"a stamp without a key", 400, "missing_idempotency_key", target = "/services/register/stamps", body = "{}"},
}
for _, case in ipairs(cases) do
  local name, code, reason = case[1], case[2], case[3]
  local before = refusals(reason)
  local state = call(node.callers, case.method or "POST", case.target or "/v1/completions",
                     case.body, case.headers)
  expect_equal(code, state.status, name .. ": " .. state.body .. state.error)
  expect_equal("application/problem+json", state.headers["Content-Type"], "type for " .. name)
  local problem = json_decode(state.body)
  expect_equal(code, problem.status, "status in the document for " .. name)
  expect_equal(reason, problem.reason, "reason for " .. name)
  expect_equal("not_run", problem.outcome, "outcome for " .. name)
  expect_equal(before + 1, refusals(reason), "count of " .. reason .. " after " .. name)
end

-- Connections with an incomplete request are closed after a timeout; other callers are served
-- meanwhile.
local slow = {}
for number = 1, 20 do
  slow[number] = send_raw(node.callers, "POST /v1/completions HTTP/1.1\r\nHost: node\r\n" ..
    (number % 2 == 0 and "Content-Length: 100\r\n\r\n{" or "X-Half"))
end
local slow_before = refusals("slow_request")
for number = 1, 10 do
  expect_whole(completion(node, "assistant/a1", "meanwhile " .. number), "assistant/a1@1", 8)
end
for _, handle in ipairs(slow) do
  local answer = read_raw(handle)
  expect(answer:match("^HTTP/1.1 408 ") and answer:match('"slow_request"'), "408, got: " .. answer)
end
expect_equal(slow_before + 20, refusals("slow_request"), "count of slow requests")
expect_equal(nil, executions(platform, {"register-1"})[""], "stamps without a key")
expect_whole(completion(node, "assistant/a2", "after"), "assistant/a2@1", 8)
signal(node.process, "TERM")
expect_equal(0, wait_process(node.process), "exit code")
