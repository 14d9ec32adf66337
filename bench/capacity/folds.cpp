/// Applying log records, from the bytes of the log's answer to the fold's state, and the folds'
/// memory and snapshots.

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

member_fold members_of(std::size_t sessions, std::size_t endpoints) {
    member_fold fold;
    std::uint64_t offset = 0;
    for (std::size_t node = 0; node < sessions; ++node) {
        fold.apply(entry_of(offset++, node, session_open{session_of(node)}));
    }
    for (std::size_t index = 0; index < endpoints; ++index) {
        const auto node = index % sessions;
        fold.apply(entry_of(offset++, node, grant{endpoint_name(index), make_position(node, 0)}));
    }
    return fold;
}

config_fold config_of(std::size_t adapters) {
    config_change change;
    for (const auto& [name, values] : sections_of(adapters)) {
        change.sections[name] = values;
    }
    config_fold fold;
    fold.apply(entry_of(0, 0, change));
    return fold;
}

std::string key_of(std::size_t index) {
    return "t1790000000-" + hex_id(index);
}

key_outcome outcome_of(std::size_t index, position claim) {
    key_outcome item;
    item.key = key_of(index);
    item.claim = claim;
    item.status = 200;
    item.content_type = "application/json";
    item.body = std::string(120, 'x');
    return item;
}

claim_fold claims_of(std::size_t keys) {
    claim_fold fold;
    for (std::size_t index = 0; index < keys; ++index) {
        fold.apply(
            entry_of(2 * index, 1, key_claim{key_of(index), hex_id(index), 4096, index + 1}));
        fold.apply(entry_of(2 * index + 1, 1, outcome_of(index, make_position(2 * index, 0))));
    }
    return fold;
}

/// Parses and applies `make(offset)` again and again. The text is made outside of the timed part.
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
                texts.push_back(text_of(make(offset++)));
            }
            bytes = texts.back().size();
            state.ResumeTiming();
        }
        fold.apply(entry_from(texts[next++]));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.SetComplexityN(state.range(0));
}

/// A renewal of `range(1)` sessions while `range(0)` live.
void renewal_apply(benchmark::State& state) {
    auto fold = members_of(static_cast<std::size_t>(state.range(0)), 880);
    session_renew item;
    for (std::int64_t node = 0; node < state.range(1); ++node) {
        item.sessions.push_back(make_position(static_cast<std::uint64_t>(node), 0));
    }
    apply(state, fold, [&](auto offset) { return entry_of(offset, 1, item); });
}
BENCHMARK(renewal_apply)->ArgsProduct({{8, 90, 360}, {1}})->Args({360, 8})->Args({360, 45});

/// A grant and the release before it, in two entries; the time and bytes are of one entry.
void grant_apply(benchmark::State& state) {
    auto fold = members_of(360, static_cast<std::size_t>(state.range(0)));
    const auto session = make_position(0, 0);
    apply(state, fold, [&](auto offset) -> stream_entry {
        if (offset % 2 == 0) {
            return entry_of(offset, 0, grant{endpoint_name(0), session});
        }
        return entry_of(offset, 0, release{endpoint_name(0), session, 0});
    });
}
BENCHMARK(grant_apply)->Arg(100)->Arg(880)->Arg(3500);

/// A claim and its outcome in turn, in a fold that holds `range(0)` keys at the start.
void claim_apply(benchmark::State& state) {
    auto fold = claims_of(static_cast<std::size_t>(state.range(0)));
    apply(state, fold, [&](std::uint64_t offset) -> stream_entry {
        const auto index = static_cast<std::size_t>(offset / 2);
        if (offset % 2 == 0) {
            return entry_of(offset, 1, key_claim{key_of(index), hex_id(index), 4096, index + 1});
        }
        return entry_of(offset, 1, outcome_of(index, make_position(offset - 1, 0)));
    });
}
BENCHMARK(claim_apply)->Arg(1000)->Arg(10000)->Arg(100000);

/// A change of one adapter's section.
void config_change_apply(benchmark::State& state) {
    auto fold = config_of(static_cast<std::size_t>(state.range(0)));
    apply(state, fold, [](std::uint64_t offset) {
        config_change change;
        change.base = make_position(offset - 1, 1);
        change.author = "operator";
        section values;
        values["versions"] = "2, 3, 4";
        values["current"] = offset % 2 == 0 ? "3" : "4";
        change.sections["adapter assistant/adapter-00007"] = std::move(values);
        return entry_of(offset, 1, change);
    });
}
BENCHMARK(config_change_apply)->Arg(1000)->Arg(5000)->Arg(23000);

/// Bytes that one object made by `make` keeps on the heap.
template <class Make> void memory(benchmark::State& state, Make make) {
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto before = live_bytes();
        const auto kept = make();
        bytes = live_bytes() - before;
        benchmark::DoNotOptimize(&kept);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_each"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

void config_fold_bytes(benchmark::State& state) {
    memory(state, [&] { return config_of(static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(config_fold_bytes)->Arg(1000)->Arg(5000)->Arg(23000)->Iterations(1);

void sections_bytes(benchmark::State& state) {
    memory(state, [&] { return sections_of(static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(sections_bytes)->Arg(1000)->Arg(5000)->Arg(23000)->Iterations(1);

void deployment_bytes(benchmark::State& state) {
    const auto sections = sections_of(static_cast<std::size_t>(state.range(0)));
    memory(state, [&] { return std::move(config::deployment_from_sections(sections).values); });
}
BENCHMARK(deployment_bytes)->Arg(1000)->Arg(5000)->Arg(23000)->Iterations(1);

void sessions_bytes(benchmark::State& state) {
    memory(state, [&] { return members_of(static_cast<std::size_t>(state.range(0)), 0); });
}
BENCHMARK(sessions_bytes)->Arg(90)->Arg(360)->Arg(720)->Iterations(1);

void grants_bytes(benchmark::State& state) {
    memory(state, [&] { return members_of(1, static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(grants_bytes)->Arg(100)->Arg(880)->Arg(3500)->Iterations(1);

void claims_bytes(benchmark::State& state) {
    memory(state, [&] { return claims_of(static_cast<std::size_t>(state.range(0))); });
}
BENCHMARK(claims_bytes)->Arg(1000)->Arg(10000)->Arg(100000)->Iterations(1);

template <class Fold> void encode(benchmark::State& state, const Fold& fold) {
    std::string text;
    for (auto _ : state) {
        text = fold.state().dump();
        benchmark::DoNotOptimize(text);
    }
    state.counters["bytes"] = static_cast<double>(text.size());
    state.SetComplexityN(state.range(0));
}

template <class Fold> void restore(benchmark::State& state, const Fold& fold) {
    const auto text = fold.state().dump();
    for (auto _ : state) {
        Fold copy;
        copy.restore(support::json::parse(text));
        benchmark::DoNotOptimize(&copy);
    }
    state.SetComplexityN(state.range(0));
}

void config_snapshot_encode(benchmark::State& state) {
    encode(state, config_of(static_cast<std::size_t>(state.range(0))));
}
void config_snapshot_restore(benchmark::State& state) {
    restore(state, config_of(static_cast<std::size_t>(state.range(0))));
}
void members_snapshot_encode(benchmark::State& state) {
    encode(state, members_of(360, static_cast<std::size_t>(state.range(0))));
}
void members_snapshot_restore(benchmark::State& state) {
    restore(state, members_of(360, static_cast<std::size_t>(state.range(0))));
}
void claims_snapshot_encode(benchmark::State& state) {
    encode(state, claims_of(static_cast<std::size_t>(state.range(0))));
}
void claims_snapshot_restore(benchmark::State& state) {
    restore(state, claims_of(static_cast<std::size_t>(state.range(0))));
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

/// What the loops of a node ask of the members' fold: the own session at each step, the endpoints
/// held every 20 ms.
void session_lookup(benchmark::State& state) {
    const auto sessions = static_cast<std::size_t>(state.range(0));
    const auto fold = members_of(sessions, 880);
    const auto own = hex_id(sessions / 2);
    for (auto _ : state) {
        benchmark::DoNotOptimize(fold.session_of(own));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(session_lookup)->Arg(8)->Arg(90)->Arg(360)->Complexity(benchmark::oN);

void held_endpoints(benchmark::State& state) {
    const auto fold = members_of(360, static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(fold.endpoints_held_by(make_position(5, 0)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(held_endpoints)->Arg(12)->Arg(100)->Arg(880)->Arg(3500)->Complexity(benchmark::oN);

} // namespace
