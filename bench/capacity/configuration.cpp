/// Reading the operators' text, whole and after one changed section.

#include "dragonflystair/config/deployment.h"

#include "../../lib/node/config_table.h"
#include "samples.h"

#include <benchmark/benchmark.h>

namespace {

using namespace bench;
using namespace dragonflystair;

void adapter_counts(benchmark::internal::Benchmark* bench) {
    bench->Arg(1000)->Arg(5000)->Arg(10000)->Arg(23000)->Complexity(benchmark::oN);
    bench->Unit(benchmark::kMillisecond);
}

/// What the node that publishes pays.
void text_parse(benchmark::State& state) {
    const auto text = config::render(sections_of(static_cast<std::size_t>(state.range(0))));
    for (auto _ : state) {
        benchmark::DoNotOptimize(config::parse_deployment(text, "text").findings.size());
    }
    state.counters["bytes"] = static_cast<double>(text.size());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(text_parse)->Apply(adapter_counts);

void sections_read(benchmark::State& state) {
    const auto sections = sections_of(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(config::deployment_from_sections(sections).findings.size());
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(sections_read)->Apply(adapter_counts);

ledger::config_change one_section(ledger::position base, bool even) {
    ledger::config_change change;
    change.base = base;
    ledger::section values;
    values["versions"] = "2, 3, 4";
    values["current"] = even ? "3" : "4";
    change.sections["adapter assistant/adapter-00007"] = std::move(values);
    return change;
}

/// What every node pays for a change of one section: the fold and the new view.
void change_in_force(benchmark::State& state) {
    node::config_table table;
    ledger::config_change first;
    for (const auto& [name, values] : sections_of(static_cast<std::size_t>(state.range(0)))) {
        first.sections[name] = values;
    }
    const std::vector<ledger::stream_entry> start{entry_of(0, 0, first)};
    table.apply(start);
    std::uint64_t offset = 1;
    for (auto _ : state) {
        const std::vector<ledger::stream_entry> next{
            entry_of(offset, 0, one_section(table.view()->revision, offset % 2 == 0))};
        table.apply(next);
        ++offset;
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(change_in_force)->Apply(adapter_counts);

} // namespace
