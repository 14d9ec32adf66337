/// Benchmarks of applying log records, from the bytes of a log response to the state of the fold,
/// and of the memory and snapshots of the folds.

#include "dragonflystair/ledger/claim_fold.h"
#include "dragonflystair/ledger/config_fold.h"
#include "dragonflystair/ledger/member_fold.h"

#include "live_bytes.h"
#include "samples.h"

#include <benchmark/benchmark.h>

#include <optional>

namespace {

using namespace bench;
using namespace dragonflystair;
using namespace dragonflystair::ledger;

member_fold make_member_fold(std::size_t sessions, std::size_t endpoints) {
    member_fold fold;
    std::uint64_t offset = 0;
    for (std::size_t node = 0; node < sessions; ++node) {
        fold.apply(make_entry(offset++, node, session_open{make_session(node)}));
    }
    for (std::size_t index = 0; index < endpoints; ++index) {
        const auto node = index % sessions;
        fold.apply(make_entry(offset++, node, grant{endpoint_name(index), make_position(node, 0)}));
    }
    return fold;
}

config_fold make_config_fold(std::size_t adapters) {
    config_change change;
    for (const auto& [name, values] : make_sections(adapters)) {
        change.sections[name] = values;
    }
    config_fold fold;
    fold.apply(make_entry(0, 0, change));
    return fold;
}

std::string make_key(std::size_t index) {
    return "t1790000000-" + hex_id(index);
}

key_outcome make_outcome(std::size_t index, position claim) {
    key_outcome outcome;
    outcome.key = make_key(index);
    outcome.claim = claim;
    outcome.status = 200;
    outcome.content_type = "application/json";
    outcome.body = std::string(120, 'x');
    return outcome;
}

claim_fold make_claim_fold(std::size_t keys) {
    claim_fold fold;
    for (std::size_t index = 0; index < keys; ++index) {
        fold.apply(
            make_entry(2 * index, 1, key_claim{make_key(index), hex_id(index), 4096, index + 1}));
        fold.apply(make_entry(2 * index + 1, 1, make_outcome(index, make_position(2 * index, 0))));
    }
    return fold;
}

/// Parses and applies entries made by `make(offset)`. Making their text is not timed.
template <class Fold, class Make> void apply(benchmark::State& state, Fold& fold, Make make) {
    auto offset = fold.next_offset();
    std::size_t bytes = 0;
    std::vector<std::string> texts;
    std::size_t next = 0;
    for (auto _ : state) {
        if (next == texts.size()) {
            state.PauseTiming();
            texts.clear();
            next = 0;
            for (int count = 0; count < 1000; ++count) {
                texts.push_back(serialize(make(offset++)));
            }
            bytes = texts.back().size();
            state.ResumeTiming();
        }
        fold.apply(parse_entry(texts[next++]));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.SetComplexityN(state.range(0));
}

/// Applies a renewal of `range(1)` sessions while `range(0)` sessions are live.
void renewal_apply(benchmark::State& state) {
    auto fold = make_member_fold(static_cast<std::size_t>(state.range(0)), 880);
    session_renew renewal;
    for (std::int64_t node = 0; node < state.range(1); ++node) {
        renewal.sessions.push_back(make_position(static_cast<std::uint64_t>(node), 0));
    }
    apply(state, fold, [&](auto offset) { return make_entry(offset, 1, renewal); });
}
BENCHMARK(renewal_apply)->ArgsProduct({{8, 90, 360}, {1}})->Args({360, 8})->Args({360, 45});

/// Applies releases and grants alternately, one per entry. Time and bytes are per entry.
void grant_apply(benchmark::State& state) {
    auto fold = make_member_fold(360, static_cast<std::size_t>(state.range(0)));
    const auto session = make_position(0, 0);
    apply(state, fold, [&](auto offset) -> stream_entry {
        if (offset % 2 == 0) {
            return make_entry(offset, 0, grant{endpoint_name(0), session});
        }
        return make_entry(offset, 0, release{endpoint_name(0), session, 0});
    });
}
BENCHMARK(grant_apply)->Arg(100)->Arg(880)->Arg(3500);

/// Applies claims and their outcomes alternately to a fold that starts with `range(0)` keys.
void claim_apply(benchmark::State& state) {
    auto fold = make_claim_fold(static_cast<std::size_t>(state.range(0)));
    apply(state, fold, [&](std::uint64_t offset) -> stream_entry {
        const auto index = static_cast<std::size_t>(offset / 2);
        if (offset % 2 == 0) {
            return make_entry(offset, 1,
                              key_claim{make_key(index), hex_id(index), 4096, index + 1});
        }
        return make_entry(offset, 1, make_outcome(index, make_position(offset - 1, 0)));
    });
}
BENCHMARK(claim_apply)->Arg(1000)->Arg(10000)->Arg(100000);

/// Applies a change of one adapter's section.
void config_change_apply(benchmark::State& state) {
    auto fold = make_config_fold(static_cast<std::size_t>(state.range(0)));
    apply(state, fold, [](std::uint64_t offset) {
        config_change change;
        change.base = make_position(offset - 1, 1);
        change.author = "operator";
        section values;
        values["versions"] = "2, 3, 4";
        values["current"] = offset % 2 == 0 ? "3" : "4";
        change.sections["adapter assistant/adapter-00007"] = std::move(values);
        return make_entry(offset, 1, change);
    });
}
BENCHMARK(config_change_apply)->Arg(1000)->Arg(5000)->Arg(23000);

/// Measures the heap bytes of one object returned by `make`.
template <class Make> void measure_memory(benchmark::State& state, Make make) {
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto before = live_bytes();
        const auto object = make();
        bytes = live_bytes() - before;
        benchmark::DoNotOptimize(&object);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_each"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

void config_fold_bytes(benchmark::State& state) {
    measure_memory(state,
                   [&] { return make_config_fold(static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(config_fold_bytes)->Arg(1000)->Arg(5000)->Arg(23000)->Iterations(1);

void sections_bytes(benchmark::State& state) {
    measure_memory(state, [&] { return make_sections(static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(sections_bytes)->Arg(1000)->Arg(5000)->Arg(23000)->Iterations(1);

void deployment_bytes(benchmark::State& state) {
    const auto sections = make_sections(static_cast<std::size_t>(state.range(0)));
    measure_memory(state,
                   [&] { return std::move(config::deployment_from_sections(sections).values); });
}
BENCHMARK(deployment_bytes)->Arg(1000)->Arg(5000)->Arg(23000)->Iterations(1);

void sessions_bytes(benchmark::State& state) {
    measure_memory(state,
                   [&] { return make_member_fold(static_cast<std::size_t>(state.range(0)), 0); });
}
BENCHMARK(sessions_bytes)->Arg(90)->Arg(360)->Arg(720)->Iterations(1);

void grants_bytes(benchmark::State& state) {
    measure_memory(state,
                   [&] { return make_member_fold(1, static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(grants_bytes)->Arg(100)->Arg(880)->Arg(3500)->Iterations(1);

void claims_bytes(benchmark::State& state) {
    measure_memory(state,
                   [&] { return make_claim_fold(static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(claims_bytes)->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(1);

template <class Fold> void measure_encode(benchmark::State& state, const Fold& fold) {
    std::string text;
    for (auto _ : state) {
        text = fold.state().dump();
        benchmark::DoNotOptimize(text);
    }
    state.counters["bytes"] = static_cast<double>(text.size());
    state.SetComplexityN(state.range(0));
}

template <class Fold> void measure_restore(benchmark::State& state, const Fold& fold) {
    const auto text = fold.state().dump();
    for (auto _ : state) {
        Fold copy;
        copy.restore(support::json::parse(text));
        benchmark::DoNotOptimize(&copy);
    }
    state.SetComplexityN(state.range(0));
}

void config_snapshot_encode(benchmark::State& state) {
    measure_encode(state, make_config_fold(static_cast<std::size_t>(state.range(0))));
}
void config_snapshot_restore(benchmark::State& state) {
    measure_restore(state, make_config_fold(static_cast<std::size_t>(state.range(0))));
}
void members_snapshot_encode(benchmark::State& state) {
    measure_encode(state, make_member_fold(360, static_cast<std::size_t>(state.range(0))));
}
void members_snapshot_restore(benchmark::State& state) {
    measure_restore(state, make_member_fold(360, static_cast<std::size_t>(state.range(0))));
}
void claims_snapshot_encode(benchmark::State& state) {
    measure_encode(state, make_claim_fold(static_cast<std::size_t>(state.range(0))));
}
void claims_snapshot_restore(benchmark::State& state) {
    measure_restore(state, make_claim_fold(static_cast<std::size_t>(state.range(0))));
}

void adapter_counts(benchmark::internal::Benchmark* bench) {
    bench->Arg(1000)->Arg(5000)->Arg(10000)->Arg(23000)->Complexity(benchmark::oN);
    bench->Unit(benchmark::kMillisecond);
}
BENCHMARK(config_snapshot_encode)->Apply(adapter_counts);
BENCHMARK(config_snapshot_restore)->Apply(adapter_counts);
BENCHMARK(members_snapshot_encode)->Arg(100)->Arg(880)->Unit(benchmark::kMillisecond);
BENCHMARK(members_snapshot_restore)->Arg(100)->Arg(880)->Unit(benchmark::kMillisecond);
BENCHMARK(claims_snapshot_encode)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);
BENCHMARK(claims_snapshot_restore)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);

/// Lookup of the node's own session, which its loops do at each step.
void session_lookup(benchmark::State& state) {
    const auto sessions = static_cast<std::size_t>(state.range(0));
    const auto fold = make_member_fold(sessions, 880);
    const auto own = hex_id(sessions / 2);
    for (auto _ : state) {
        benchmark::DoNotOptimize(fold.session_of(own));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(session_lookup)->Arg(8)->Arg(90)->Arg(360)->Complexity(benchmark::oN);

/// List of the endpoints that a session holds, which the loops request every 20 ms.
void held_endpoints(benchmark::State& state) {
    const auto fold = make_member_fold(360, static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(fold.endpoints_held_by(make_position(5, 0)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(held_endpoints)->Arg(12)->Arg(100)->Arg(880)->Arg(3500)->Complexity(benchmark::oN);

} // namespace
