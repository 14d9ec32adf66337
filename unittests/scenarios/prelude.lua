-- Helpers for scenarios: platform, nodes, calls and expectations.
-- A wait ends when its condition is true; its time limit only ends a run that would hang.

token = "scenario-token"
local limit_ms = 60000

function expect(condition, message)
  if not condition then error("expected: " .. message, 2) end
end

function expect_equal(expected, actual, what)
  if expected ~= actual then
    error(what .. ": expected " .. tostring(expected) .. ", got " .. tostring(actual), 2)
  end
end

-- Waits until `condition` returns a true value, and returns that value.
function eventually(what, condition, limit)
  local stop = now_ms() + (limit or limit_ms)
  while now_ms() < stop do
    local value = condition()
    if value then return value end
    sleep_ms(50)
  end
  error("timed out waiting for: " .. what, 2)
end

-- Requests ---------------------------------------------------------------------------------------

function begin_call(address, method, target, body, headers, timeout)
  return http(address, method, target, headers or {}, body or "", timeout or limit_ms)
end

function finish_call(handle)
  http_wait(handle)
  return http_state(handle)
end

function call(address, method, target, body, headers, timeout)
  return finish_call(begin_call(address, method, target, body, headers, timeout))
end

function get(address, target, headers) return call(address, "GET", target, "", headers) end

-- Platform and endpoints -------------------------------------------------------------------------

-- `options`: engines = {{name=, data_centre=, slots=, batch_limit=, fencing=}}, plains = {{name=,
-- data_centre=}}, log = "extra lines", store = "extra lines", vms = "extra lines".
function start_platform(options)
  options = options or {}
  local text = "[log]\naddress = 127.0.0.1:0\n" .. (options.log or "") ..
    "\n[store]\naddress = 127.0.0.1:0\nloads_per_second = 50\nconcurrent_loads = 8\n" ..
    (options.store or "") .. "\n[vms]\naddress = 127.0.0.1:0\nlag = 200ms\n" .. (options.vms or "") .. "\n"
  for _, engine in ipairs(options.engines or {}) do
    text = text .. string.format(
      "[engine %s]\naddress = 127.0.0.1:0\ndata_centre = %s\nservice = assistant\nmodel = fan-7b\n" ..
      "slots = %d\nbatch_limit = %d\ntoken_time = %s\nprefill_time = 5ms\nchecks_fencing = %s\n",
      engine.name, engine.data_centre, engine.slots or 4, engine.batch_limit or 8,
      engine.token_time or "10ms", engine.fencing == false and "no" or "yes")
  end
  for _, plain in ipairs(options.plains or {}) do
    text = text .. string.format(
      "[plain %s]\naddress = 127.0.0.1:0\ndata_centre = %s\nservice = register\nrun_time = %s\n",
      plain.name, plain.data_centre, plain.run_time or "5ms")
  end
  local settings = write_file("stand-ins.ini", text)
  local ports = write_file("ports", "")
  local process = spawn("stand-ins.log", stand_ins_binary, "--settings", settings, "--ports-file", ports)
  eventually("the stand-ins to listen", function() return #read_file("ports") > 0 end)
  local platform = {process = process}
  for name, address in read_file("ports"):gmatch("([%w%-_]+)%s*=%s*(%S+)") do
    platform[name] = address
  end
  return platform
end

function control(address, change)
  local answer = call(address, "POST", "/control", json_encode(change))
  expect_equal(200, answer.status, "control " .. json_encode(change) .. " " .. answer.body)
  return json_decode(answer.body)
end

-- Nodes ------------------------------------------------------------------------------------------

-- `options`: name, data_centre, region, timing (extra lines), peers (list of addresses), log,
-- vm_list (addresses, the platform's by default).
local started_nodes = 0
function start_node(platform, options)
  started_nodes = started_nodes + 1
  local settings = string.format([[
[node]
name = %s
data_centre = %s
region = %s
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
[peers]
addresses = %s
[platform]
log = %s
vm_list = %s
[secrets]
operator_token = %s
peer_secret = scenario-secret
[timing]
answer_lifetime = 1s
lease = 3s
lease_margin = 1s
renewal_period = 500ms
progress_timeout = 2s
%s
]], options.name, options.data_centre, options.region or options.data_centre,
    table.concat(options.peers or {}, ", "), options.log or platform.log,
    options.vm_list or platform.vms, token, options.timing or "")
  local node = {name = options.name, log = options.name .. "-" .. started_nodes .. ".log"}
  node.process = spawn(node.log, node_binary, "node", "--settings",
                       write_file(options.name .. ".ini", settings))
  local started = eventually(options.name .. " to start", function()
    return read_file(node.log):match("event=node_started[^\n]*\n")
  end)
  node.callers = started:match("callers=(%S+)")
  node.peers = started:match("peers=(%S+)")
  node.operators = started:match("operators=(%S+)")
  return node
end

-- Starts one node per data centre, each in a separate region unless `region` is given.
function start_nodes(platform, data_centres, options)
  local nodes = {}
  for _, data_centre in ipairs(data_centres) do
    local merged = {name = "node-" .. data_centre, data_centre = data_centre}
    for key, value in pairs(options or {}) do merged[key] = value end
    if #nodes > 0 then merged.peers = {nodes[1].peers} end
    nodes[#nodes + 1] = start_node(platform, merged)
  end
  return nodes
end

function wait_ready(nodes)
  for _, node in ipairs(nodes) do
    eventually(node.name .. " to be ready", function()
      return get(node.operators, "/readyz").status == 200
    end)
  end
end

function operator(node, method, target, body)
  return call(node.operators, method, target, body,
              {Authorization = "Bearer " .. token, ["X-Author"] = "scenario"})
end

function status(node) return json_decode(operator(node, "GET", "/v1/status").body) end

function metric(node, name)
  local text = get(node.operators, "/metrics").body
  for line in text:gmatch("[^\n]+") do
    local found, value = line:match("^dragonflystair_(%S+) (%S+)$")
    if found == name then return tonumber(value) end
  end
  return 0
end

function publish(node, text, base)
  return operator(node, "POST", "/v1/publish?base=" .. (base or status(node).revision), text)
end

-- Returns a deployment configuration: a model service `assistant` with adapters a1..aN and a
-- plain service `register`.
function deployment_text(options)
  options = options or {}
  local data_centres = options.data_centres or {"lahore"}
  local text = "[deployment]\nname = scenario\nstore_loads_per_second = 40\n" ..
    "store_concurrent_loads = 6\ntransit_limit = 24\n"
  for _, data_centre in ipairs(options.all_data_centres or data_centres) do
    text = text .. string.format("[data_centre %s]\nregion = %s\n", data_centre,
                                 options.region or data_centre)
  end
  text = text .. "[service assistant]\nkind = model\nbase_model = fan-7b\ndata_centres = " ..
    table.concat(data_centres, ", ") .. "\nchecks_fencing = " ..
    (options.fencing == false and "no" or "yes") .. "\nclass = short\n"
  for number = 1, options.adapters or 3 do
    text = text .. string.format("[adapter assistant/a%d]\nversions = %s\ncurrent = 1\n", number,
                                 options.versions or "1, 2")
  end
  text = text .. "[service register]\nkind = plain\ndata_centres = " ..
    table.concat(options.register_data_centres or data_centres, ", ") ..
    "\nnon_idempotent = POST /stamps\nstatus_lookup = /stamps/{key}\n"
  return text
end

-- Caller requests --------------------------------------------------------------------------------

function begin_completion(node, model, prompt, options)
  options = options or {}
  local body = json_encode({model = model, prompt = prompt, stream = true,
                            max_tokens = options.max_tokens or 8})
  local headers = {["X-Deadline-Ms"] = tostring(options.deadline_ms or 60000)}
  if options.last_event_id then headers["Last-Event-ID"] = tostring(options.last_event_id) end
  return begin_call(node.callers, "POST", "/v1/completions", body, headers)
end

-- Parses the response of a stream into `events` (list of {id, model, text}), `done` (whether it
-- ended with [DONE]) and `failure` (the error event, if any).
function read_stream(state)
  local events, done, failure = {}, false, nil
  for block in state.body:gmatch("(.-)\n\n") do
    local data = block:match("data: ?(.*)")
    if block:match("event: ?error") then
      failure = json_decode(data)
    elseif data == "[DONE]" then
      done = true
    elseif data then
      local item = json_decode(data)
      events[#events + 1] = {id = tonumber(block:match("id: ?(%d+)")), model = item.model,
                             text = item.choices[1].text}
    end
  end
  return {events = events, done = done, failure = failure}
end

-- Checks that a stream is complete: status, consecutive positions from `first`, the expected
-- adapter in every event, and the end marker. Returns the text.
function expect_whole(state, model, count, first)
  expect_equal(200, state.status, "status of the stream: " .. state.body:sub(1, 300))
  local stream = read_stream(state)
  expect(stream.failure == nil, "no error event, got " .. json_encode(stream.failure or {}))
  expect(stream.done, "the stream ends with [DONE]; " .. state.error)
  expect_equal(count, #stream.events, "number of events")
  local text = ""
  for index, event in ipairs(stream.events) do
    expect_equal((first or 0) + index - 1, event.id, "position of event " .. index)
    expect_equal(model, event.model, "model of event " .. index)
    text = text .. event.text
  end
  return text
end

function completion(node, model, prompt, options)
  return finish_call(begin_completion(node, model, prompt, options))
end

-- Starts streams of `tokens` tokens for the adapters a1 to a3 and waits until each has sent events.
function begin_streams(node, count, tokens)
  local streams = {}
  for number = 1, count do
    local adapter = "assistant/a" .. (number - 1) % 3 + 1
    streams[number] = {model = adapter .. "@1", tokens = tokens, handle =
      begin_completion(node, adapter, "p" .. number, {max_tokens = tokens})}
  end
  eventually("the streams to run", function()
    for _, item in ipairs(streams) do
      if #read_stream(http_state(item.handle)).events < 5 then return false end
    end
    return true
  end)
  return streams
end

function expect_all_whole(streams)
  for _, item in ipairs(streams) do
    expect_whole(finish_call(item.handle), item.model, item.tokens)
  end
end

-- Waits until the node serves the adapter, which takes a while after a start or a change of owners.
function wait_served(node, model)
  return eventually(model .. " to be served by " .. node.name, function()
    local state = completion(node, model, "warm up", {max_tokens = 1})
    return state.status == 200 and read_stream(state).done
  end)
end

function stamp(node, key, body)
  return call(node.callers, "POST", "/services/register/stamps", body or "{}",
              {["Idempotency-Key"] = key, ["X-Deadline-Ms"] = "20000"})
end

-- Returns the number of executions of each key, summed over the given plain services.
function executions(platform, plains)
  local total = {}
  for _, name in ipairs(plains) do
    for key, count in pairs(json_decode(get(platform[name], "/executions").body) or {}) do
      total[key] = (total[key] or 0) + count
    end
  end
  return total
end
