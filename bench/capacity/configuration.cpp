/// Benchmarks of parsing the whole deployment text and of applying a change of one section.

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

/// Parsing the text, which only the node that publishes does.
void text_parse(benchmark::State& state) {
    const auto text = config::render(make_sections(static_cast<std::size_t>(state.range(0))));
    for (auto _ : state) {
        benchmark::DoNotOptimize(config::parse_deployment(text, "text").findings.size());
    }
    state.counters["bytes"] = static_cast<double>(text.size());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(text_parse)->Apply(adapter_counts);

void sections_read(benchmark::State& state) {
    const auto sections = make_sections(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(config::deployment_from_sections(sections).findings.size());
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(sections_read)->Apply(adapter_counts);

ledger::config_change make_section_change(ledger::position base, bool even) {
    ledger::config_change change;
    change.base = base;
    ledger::section values;
    values["versions"] = "2, 3, 4";
    values["current"] = even ? "3" : "4";
    change.sections["adapter assistant/adapter-00007"] = std::move(values);
    return change;
}

/// Applying a change of one section, which every node does: the fold and the new view.
void change_in_force(benchmark::State& state) {
    node::config_table table;
    ledger::config_change first;
    for (const auto& [name, values] : make_sections(static_cast<std::size_t>(state.range(0)))) {
        first.sections[name] = values;
    }
    const std::vector<ledger::stream_entry> start{make_entry(0, 0, first)};
    table.apply(start);
    std::uint64_t offset = 1;
    for (auto _ : state) {
        const std::vector<ledger::stream_entry> next{
            make_entry(offset, 0, make_section_change(table.view()->revision, offset % 2 == 0))};
        table.apply(next);
        ++offset;
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(change_in_force)->Apply(adapter_counts);

} // namespace
