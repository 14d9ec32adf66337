/// Benchmarks of decisions: routing by number of endpoints, scheduling by queue length, load
/// permits by pending requests, grants by endpoints and sessions, rendezvous order by members.

#include "dragonflystair/membership/grant_planner.h"
#include "dragonflystair/policy/endpoint_scheduler.h"
#include "dragonflystair/policy/load_permits.h"
#include "dragonflystair/policy/router.h"
#include "dragonflystair/support/hash.h"

#include "../../lib/net/peer_frame.h"
#include "../../lib/node/endpoint_directory.h"
#include "samples.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace {

using namespace bench;
using namespace dragonflystair;
using support::time_point;

constexpr time_point start{std::chrono::seconds{100}};

/// Choice of an endpoint for a popular adapter, which is resident on one endpoint in 40.
void route_choice(benchmark::State& state) {
    std::vector<policy::route_candidate> candidates;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        policy::route_candidate candidate;
        candidate.endpoint = endpoint_name(static_cast<std::size_t>(index));
        candidate.resident = index % 40 == 0;
        candidate.same_region = index % 3 == 0;
        candidates.push_back(std::move(candidate));
    }
    const policy::router router(policy::router_limits{});
    std::mt19937_64 random(7);
    for (auto _ : state) {
        benchmark::DoNotOptimize(router.choose(adapter_name(7), candidates, {}, random));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(route_choice)->Arg(9)->Arg(90)->Arg(880)->Arg(3500)->Complexity(benchmark::oN);

/// Fills the directory with endpoints that have reported. The first `with_latency` of them also
/// have a latency sample from this node.
void fill_directory(node::endpoint_directory& directory, std::size_t endpoints,
                    std::size_t with_latency) {
    directory.update_list(make_vms(endpoints), start);
    for (std::size_t index = 0; index < endpoints; ++index) {
        policy::endpoint_load load;
        for (std::size_t slot = 0; slot < slots; ++slot) {
            load.resident.push_back(adapter_name(index * slots + slot));
        }
        directory.on_report(endpoint_name(index), hex_id(index % 360), std::move(load), start);
        if (index < with_latency) {
            directory.on_latency(endpoint_name(index), std::chrono::milliseconds{20}, start);
        }
    }
}

void directory_sizes(benchmark::internal::Benchmark* bench) {
    for (const auto endpoints : {9, 90, 880, 3500}) {
        bench->Args({endpoints, 0})->Args({endpoints, endpoints});
    }
}

/// Lookup of the directory rows from which an entry node builds the candidates of one request.
void candidate_rows(benchmark::State& state) {
    node::endpoint_directory directory;
    fill_directory(directory, static_cast<std::size_t>(state.range(0)),
                   static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(directory.of_service("assistant", start));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(candidate_rows)->Apply(directory_sizes);

/// List of the resources that need an owner, which the session agent requests every 100 ms.
void ownable_rows(benchmark::State& state) {
    node::endpoint_directory directory;
    fill_directory(directory, static_cast<std::size_t>(state.range(0)),
                   static_cast<std::size_t>(state.range(1)));
    const auto text = config::deployment_from_sections(make_sections(1)).values;
    for (auto _ : state) {
        benchmark::DoNotOptimize(directory.ownables(text, start));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(ownable_rows)->Apply(directory_sizes);

/// Poll of a scheduler that cannot dispatch because the batch is full.
void scheduler_poll(benchmark::State& state) {
    policy::scheduler_limits limits;
    limits.queue_limit = 10'000;
    policy::endpoint_scheduler scheduler(limits);
    policy::engine_report report;
    report.start = "start";
    report.slots = limits.slots;
    report.batch_limit = limits.batch_limit;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        report.resident.push_back(adapter_name(slot));
    }
    scheduler.on_takeover(report, {}, start);
    const auto now = start + std::chrono::seconds{5};
    for (auto at = start; at <= now; at += std::chrono::milliseconds{500}) {
        scheduler.on_report(report, at);
    }
    const auto total = state.range(0) + static_cast<std::int64_t>(limits.batch_limit);
    for (std::int64_t index = 0; index < total; ++index) {
        policy::request request;
        request.id = hex_id(static_cast<std::size_t>(index));
        request.adapter = adapter_name(static_cast<std::size_t>(index) % slots);
        request.deadline = now + std::chrono::hours{1};
        (void)scheduler.submit(std::move(request), now);
        (void)scheduler.poll(now);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(scheduler.poll(now));
    }
    state.counters["running"] = static_cast<double>(scheduler.running());
    state.counters["queued"] = static_cast<double>(scheduler.queued());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(scheduler_poll)->Arg(0)->Arg(16)->Arg(128)->Arg(512);

/// Poll of the load permits while `range(0)` loads wait and the rate limit allows none. `bytes` is
/// the size of a permit request, which each waiting load repeats every second.
void permit_poll(benchmark::State& state) {
    policy::store_limits limits;
    limits.loads_per_second = 0.001;
    policy::load_permits permits(limits, start);
    const auto now = start + std::chrono::seconds{10};
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        const auto number = static_cast<std::size_t>(index);
        permits.request(endpoint_name(number), adapter_name(number), 1.0, now);
    }
    benchmark::DoNotOptimize(permits.poll(now));
    for (auto _ : state) {
        benchmark::DoNotOptimize(permits.poll(now));
    }
    const support::json frame{{"type", "permit_request"},
                              {"endpoint", endpoint_name(1)},
                              {"adapter", adapter_name(1)},
                              {"urgency", 1.0},
                              {"stamp_ms", 123'456'789}};
    state.counters["bytes"] = static_cast<double>(net::encode_frame(frame).size());
    state.counters["waiting"] = static_cast<double>(permits.waiting());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(permit_poll)->Arg(9)->Arg(90)->Arg(880);

ledger::member_fold make_member_fold(std::size_t sessions, std::size_t granted) {
    ledger::member_fold fold;
    std::uint64_t offset = 0;
    for (std::size_t node = 0; node < sessions; ++node) {
        fold.apply(make_entry(offset++, node, ledger::session_open{make_session(node)}));
    }
    for (std::size_t index = 0; index < granted; ++index) {
        const auto node = index % sessions;
        fold.apply(make_entry(offset++, node,
                              ledger::grant{endpoint_name(index), ledger::make_position(node, 0)}));
    }
    return fold;
}

/// Grant plan for `range(0)` endpoints, of which `range(2)` have no owner, and `range(1)` sessions.
void grant_plan(benchmark::State& state) {
    const auto endpoints = static_cast<std::size_t>(state.range(0));
    const auto without_owner = static_cast<std::size_t>(state.range(2));
    const auto fold =
        make_member_fold(static_cast<std::size_t>(state.range(1)), endpoints - without_owner);
    std::vector<membership::ownable_resource> ownables;
    for (std::size_t index = 0; index < endpoints; ++index) {
        ownables.push_back({endpoint_name(index), region_name(index), data_centre_name(index)});
    }
    membership::grant_planner planner;
    for (auto _ : state) {
        benchmark::DoNotOptimize(planner.plan(fold, ownables, ledger::make_position(0, 0), start));
    }
}
BENCHMARK(grant_plan)
    ->Args({12, 8, 0})
    ->Args({880, 360, 0})
    ->Args({3500, 360, 0})
    ->Args({12, 8, 12})
    ->Args({880, 90, 110})
    ->Args({880, 360, 110})
    ->Args({880, 360, 440})
    ->Args({3500, 360, 440});

void rendezvous(benchmark::State& state) {
    std::vector<std::string> members;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        members.push_back(hex_id(static_cast<std::size_t>(index)));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(support::rendezvous_order("assistant-0007", members));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(rendezvous)->Arg(8)->Arg(45)->Arg(120)->Arg(360)->Arg(880)->Complexity(benchmark::oNLogN);

} // namespace
