/// Benchmarks of peer heartbeats (size, encoding, and decoding with the update of the endpoint
/// directory), of the directory's memory and of the VM list.

#include "../../lib/net/peer_frame.h"
#include "../../lib/node/endpoint_directory.h"
#include "live_bytes.h"
#include "samples.h"

#include <benchmark/benchmark.h>

namespace {

using namespace bench;
using dragonflystair::net::encode_frame;
using dragonflystair::net::frame_reader;
using dragonflystair::node::endpoint_directory;
using dragonflystair::support::json;
using dragonflystair::support::time_point;

/// Returns a heartbeat with the same members and sizes as `peer_protocol::heartbeat`.
json heartbeat(std::size_t owned, std::size_t resident) {
    json endpoints = json::array();
    for (std::size_t index = 0; index < owned; ++index) {
        std::vector<std::string> adapters;
        for (std::size_t slot = 0; slot < resident; ++slot) {
            adapters.push_back(adapter_name(index * resident + slot));
        }
        endpoints.push_back({{"id", endpoint_name(index)},
                             {"resident", std::move(adapters)},
                             {"running", 12},
                             {"queued", 3},
                             {"batch_limit", 16},
                             {"expected_wait_ms", 140}});
    }
    return {{"type", "heartbeat"},
            {"node", "node-001"},
            {"data_centre", data_centre_name(1)},
            {"revision", 1'234'567'890},
            {"accepts_callers", true},
            {"stamp_ms", 123'456'789},
            {"echo_ms", 123'456'789},
            {"promises_no_takeover", false},
            {"endpoints", std::move(endpoints)},
            {"leaving", json::array()},
            {"quarantined", json::array()}};
}

void report_endpoints(endpoint_directory& directory, const json& frame) {
    for (const auto& item : frame.at("endpoints")) {
        dragonflystair::policy::endpoint_load load;
        load.resident = item.at("resident").get<std::vector<std::string>>();
        load.running = item.value("running", std::size_t{0});
        directory.on_report(item.at("id").get<std::string>(), hex_id(1), std::move(load),
                            time_point{std::chrono::seconds{1}});
    }
}

/// Building and encoding one heartbeat. A node does this for each peer, because each heartbeat
/// echoes the last timestamp of its receiver.
void heartbeat_encode(benchmark::State& state) {
    const auto owned = static_cast<std::size_t>(state.range(0));
    const auto resident = static_cast<std::size_t>(state.range(1));
    std::string bytes;
    for (auto _ : state) {
        bytes = encode_frame(heartbeat(owned, resident));
        benchmark::DoNotOptimize(bytes);
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
    state.SetComplexityN(state.range(0));
}

void heartbeat_decode(benchmark::State& state) {
    const auto bytes = encode_frame(heartbeat(static_cast<std::size_t>(state.range(0)),
                                              static_cast<std::size_t>(state.range(1))));
    endpoint_directory directory;
    directory.update_list(make_vms(1000), {});
    for (auto _ : state) {
        frame_reader reader(bytes.size());
        reader.feed(bytes);
        json frame;
        benchmark::DoNotOptimize(reader.next(frame));
        report_endpoints(directory, frame);
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
    state.SetComplexityN(state.range(0));
}

void sizes(benchmark::internal::Benchmark* bench) {
    for (const auto owned : {0, 1, 2, 5, 10, 50}) {
        bench->Args({owned, static_cast<int>(slots)});
    }
    bench->Args({10, 1})->Args({10, 4})->Args({10, 16});
}

BENCHMARK(heartbeat_encode)->Apply(sizes);
BENCHMARK(heartbeat_decode)->Apply(sizes);

/// Heap bytes of the endpoint directory with one report per endpoint.
void directory_bytes(benchmark::State& state) {
    const auto endpoints = static_cast<std::size_t>(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto vms = make_vms(endpoints);
        const auto frame = heartbeat(endpoints, slots);
        const auto before = live_bytes();
        endpoint_directory directory;
        directory.update_list(vms, {});
        report_endpoints(directory, frame);
        bytes = live_bytes() - before;
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(directory_bytes)->Arg(100)->Arg(880)->Arg(3500);

/// Parsing a VM list response, which every node reads once a second.
void vm_list_parse(benchmark::State& state) {
    json list = json::array();
    for (const auto& vm : make_vms(static_cast<std::size_t>(state.range(0)))) {
        list.push_back({{"id", vm.id},
                        {"address", vm.address},
                        {"data_centre", vm.data_centre},
                        {"service", vm.service},
                        {"state", "live"}});
    }
    const auto text = json{{"vms", list}}.dump();
    endpoint_directory directory;
    for (auto _ : state) {
        const auto value = json::parse(text);
        std::vector<dragonflystair::membership::listed_vm> vms;
        for (const auto& item : value.at("vms")) {
            vms.push_back({item.at("id").get<std::string>(), item.at("address").get<std::string>(),
                           item.at("data_centre").get<std::string>(),
                           item.at("service").get<std::string>(),
                           item.at("state").get<std::string>() == "leaving"});
        }
        directory.update_list(vms, time_point{std::chrono::seconds{1}});
    }
    state.counters["bytes"] = static_cast<double>(text.size());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(vm_list_parse)->Arg(12)->Arg(100)->Arg(880)->Arg(1240)->Complexity(benchmark::oN);

} // namespace
