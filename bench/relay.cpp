/// The data path: streams through a node, against the same streams sent directly to the engine and
/// through a bare relay. bench/run-relay starts all processes.
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

path path_from(const std::string& text) {
    path way;
    std::istringstream parts(text);
    std::string pids;
    std::getline(parts, way.name, '=');
    std::getline(parts, way.address, '=');
    std::getline(parts, pids);
    std::istringstream list(pids);
    for (std::string pid; std::getline(list, pid, '+');) {
        way.pids.push_back(pid);
    }
    return way;
}

double percentile(std::vector<double> samples, double share) {
    if (samples.empty()) {
        return 0;
    }
    std::ranges::sort(samples);
    const auto last = static_cast<double>(samples.size() - 1);
    return samples[static_cast<std::size_t>(std::lround(share * last))];
}

void print_load(const path& way, std::size_t streams, const load_result& result) {
    const auto tokens = static_cast<double>(std::max<std::size_t>(result.tokens, 1));
    const auto memory = result.resident_open_bytes == 0
                            ? 0
                            : (result.resident_open_bytes - result.resident_before_bytes) /
                                  static_cast<double>(streams);
    fmt::print("| {} | {} | {} | {} | {:.0f} | {:.1f} | {:.1f} | {:.1f} |\n", way.name, streams,
               result.completed, result.failed, tokens / result.elapsed.count(),
               result.processor_ns / tokens / 1e3, memory / 1024,
               percentile(result.first_token_ms, 0.99));
    std::fflush(stdout);
}

void measure_load(const std::string& model, std::size_t tokens, const std::vector<path>& ways) {
    fmt::print("| path | streams | completed | failed | tokens/s | processor us per token | "
               "resident KiB per stream | first token p99, ms |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto streams : stream_counts) {
        for (const auto& way : ways) {
            print_load(way, streams, run_load(way, model, streams, tokens));
        }
    }
}

void measure_idle(const std::string& model, std::size_t calls, const std::vector<path>& ways) {
    fmt::print("| path | calls | failed | first token p50, ms | p99, ms | processor us per call "
               "of one token |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const auto& way : ways) {
        const auto result = run_sequence(way, model, calls);
        fmt::print("| {} | {} | {} | {:.2f} | {:.2f} | {:.0f} |\n", way.name, calls, result.failed,
                   percentile(result.first_token_ms, 0.5), percentile(result.first_token_ms, 0.99),
                   result.processor_ns / static_cast<double>(calls) / 1e3);
        std::fflush(stdout);
    }
}

int run(const std::vector<std::string>& words) {
    if (words.size() == 2 && words[0] == "floor") {
        serve_floor(words[1]);
        return 0;
    }
    if (words.size() < 4 || (words[0] != "load" && words[0] != "idle")) {
        fmt::print(stderr, "usage: bench_relay floor ENGINE\n"
                           "       bench_relay (load|idle) MODEL COUNT NAME=ADDRESS=PIDS...\n");
        return 2;
    }
    std::vector<path> ways;
    for (std::size_t index = 3; index < words.size(); ++index) {
        ways.push_back(path_from(words[index]));
    }
    const auto measure = words[0] == "load" ? measure_load : measure_idle;
    measure(words[1], std::stoul(words[2]), ways);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run({argv + 1, argv + argc});
    } catch (const std::exception& fault) {
        fmt::print(stderr, "bench_relay: {}\n", fault.what());
        return 1;
    }
}
