-- Callers that keep a node's address go on calling while it stops. Guards against a node that takes
-- calls until its drain time is over, and then cuts off those that run.
local platform = start_platform{engines = {{name = "engine-1", data_centre = "lahore", batch_limit = 64}}}
local node = start_nodes(platform, {"lahore"}, {timing = "drain_timeout = 8s\n"})[1]
wait_ready{node}
expect_equal(200, publish(node, deployment_text{}, 0).status, "publish")
wait_served(node, "assistant/a1")

signal(node.process, "TERM")
local calls, refused, stopped = {}, 0, false
local function note_ended()
  for index = #calls, 1, -1 do
    local state = http_state(calls[index].handle)
    if state.ended then
      if state.status == 200 then
        expect_whole(state, "assistant/a1@1", 150)
      elseif state.status == 503 then
        expect(state.body:find("not_run", 1, true), "a refusal that says not_run: " .. state.body)
        refused = refused + 1
      end
      table.remove(calls, index)
    end
  end
end
eventually("the node to stop", function()
  calls[#calls + 1] = {handle = begin_completion(node, "assistant/a1", "p" .. #calls, {max_tokens = 150})}
  note_ended()
  stopped = read_file(node.log):find("event=node_stopped", 1, true) ~= nil
  return stopped
end)
expect_equal(0, wait_process(node.process), "exit code")
expect(refused > 0, "calls that are refused late in the stop")
