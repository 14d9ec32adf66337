-- Both engines restart with 80 running streams, more than the retry budget that a node has
-- accumulated. Guards against streams that are cut off because that budget is exhausted: it is
-- meant to limit retries of new requests during an overload.
local platform = start_platform{engines = {
  {name = "engine-1", data_centre = "lahore", batch_limit = 64, token_time = "5ms"},
  {name = "engine-2", data_centre = "lahore", batch_limit = 64, token_time = "5ms"}}}
local nodes = start_nodes(platform, {"lahore"})
wait_ready(nodes)
expect_equal(200, publish(nodes[1], deployment_text{}, 0).status, "publish")
for number = 1, 3 do wait_served(nodes[1], "assistant/a" .. number) end

local streams = begin_streams(nodes[1], 80, 300)
control(platform["engine-1"], {restart = true})
control(platform["engine-2"], {restart = true})
expect_all_whole(streams)
