/// Measures the data path: compares streams through a node with the same streams sent directly to
/// the engine and through a minimal relay. bench/run-relay starts all processes.
///
///     bench_relay floor ENGINE
///     bench_relay load MODEL TOKENS NAME=ADDRESS=PID[+PID...] ...
///     bench_relay idle MODEL CALLS NAME=ADDRESS=PID[+PID...] ...

#include "relay/floor.h"
#include "relay/load.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <exception>
#include <sstream>
#include <string_view>

namespace {

using namespace bench;

constexpr std::array<std::size_t, 4> stream_counts{1, 10, 100, 1000};

path parse_path(const std::string& text) {
    path target;
    std::istringstream parts(text);
    std::string pids;
    std::getline(parts, target.name, '=');
    std::getline(parts, target.address, '=');
    std::getline(parts, pids);
    std::istringstream list(pids);
    for (std::string pid; std::getline(list, pid, '+');) {
        target.pids.push_back(pid);
    }
    return target;
}

double percentile(std::vector<double> samples, double share) {
    if (samples.empty()) {
        return 0;
    }
    std::ranges::sort(samples);
    const auto last = static_cast<double>(samples.size() - 1);
    return samples[static_cast<std::size_t>(std::lround(share * last))];
}

void print_load(const path& target, std::size_t streams, const load_result& result) {
    const auto tokens = static_cast<double>(std::max<std::size_t>(result.tokens, 1));
    const auto memory = result.resident_open_bytes == 0
                            ? 0
                            : (result.resident_open_bytes - result.resident_before_bytes) /
                                  static_cast<double>(streams);
    fmt::print("| {} | {} | {} | {} | {:.0f} | {:.1f} | {:.1f} | {:.1f} |\n", target.name, streams,
               result.completed, result.failed, tokens / result.elapsed.count(),
               result.processor_ns / tokens / 1e3, memory / 1024,
               percentile(result.first_token_ms, 0.99));
    std::fflush(stdout);
}

void measure_load(const std::string& model, std::size_t tokens, const std::vector<path>& targets) {
    fmt::print("| path | streams | completed | failed | tokens/s | processor us per token | "
               "resident KiB per stream | first token p99, ms |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto streams : stream_counts) {
        for (const auto& target : targets) {
            print_load(target, streams, run_load(target, model, streams, tokens));
        }
    }
}

void measure_idle(const std::string& model, std::size_t calls, const std::vector<path>& targets) {
    fmt::print("| path | calls | failed | first token p50, ms | p99, ms | processor us per call "
               "of one token |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const auto& target : targets) {
        const auto result = run_sequence(target, model, calls);
        fmt::print("| {} | {} | {} | {:.2f} | {:.2f} | {:.0f} |\n", target.name, calls,
                   result.failed, percentile(result.first_token_ms, 0.5),
                   percentile(result.first_token_ms, 0.99),
                   result.processor_ns / static_cast<double>(calls) / 1e3);
        std::fflush(stdout);
    }
}

int run(const std::vector<std::string>& args) {
    if (args.size() == 2 && args[0] == "floor") {
        serve_floor(args[1]);
        return 0;
    }
    if (args.size() < 4 || (args[0] != "load" && args[0] != "idle")) {
        fmt::print(stderr, "usage: bench_relay floor ENGINE\n"
                           "       bench_relay (load|idle) MODEL COUNT NAME=ADDRESS=PIDS...\n");
        return 2;
    }
    std::vector<path> targets;
    for (std::size_t index = 3; index < args.size(); ++index) {
        targets.push_back(parse_path(args[index]));
    }
    const auto measure = args[0] == "load" ? measure_load : measure_idle;
    measure(args[1], std::stoul(args[2]), targets);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run({argv + 1, argv + argc});
    } catch (const std::exception& error) {
        fmt::print(stderr, "bench_relay: {}\n", error.what());
        return 1;
    }
}
