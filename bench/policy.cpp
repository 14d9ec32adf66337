/// Prints the policy's measures for both deployments: baselines -> ours, mean and standard
/// deviation over five fixed seeds. The cluster is a fake with a manual clock, so two runs print
/// the same.

#include "policy/cluster.h"

#include <fmt/format.h>

#include <array>

namespace {

using namespace bench;
using values = std::map<std::string, double>;

constexpr std::array<unsigned, 5> seeds{11, 22, 33, 44, 55};
constexpr std::array strategies{strategy::random_lru, strategy::least_loaded_lru, strategy::ours};

/// A line of a table: a value of a scenario, or its ratio to the same value of another one.
struct row {
    std::string scenario, value, label;
    std::string relative_to = {};
};

const std::map<std::string, scenario> scenarios{
    {"steady", {}},
    {"without long", {.long_per_second = 0}},
    {"one slow", {.slow_endpoints = 1}},
    {"two slow", {.slow_endpoints = 2}},
    {"swing", {.base = 0.5, .crest = 1.5, .long_per_second = 0}},
    {"shift", {.base = 0.5, .crest = 0.5, .cold_share = 0.3}}};

const std::vector<row> rows{
    {"steady", "stall_share", "requests stalled by a load, share"},
    {"steady", "stall_seconds", "stall by loads per request, s"},
    {"steady", "loads", "adapter loads"},
    {"steady", "requests_per_load", "requests per load"},
    {"steady", "batch", "mean batch of a busy engine / limit"},
    {"steady", "good", "served in deadline, share"},
    {"steady", "far", "served in another region, share"},
    {"steady", "long_good", "long work served in deadline, share"},
    {"swing", "good", "crest: served in deadline, share of offered"},
    {"swing", "good_of_capacity", "crest: served in deadline / what capacity allows"},
    {"swing", "refused_at_once", "crest: refused within 100 ms, share"},
    {"swing", "late", "crest: late or refused late, share"},
    {"steady", "wait_p50", "short work's wait p50, s"},
    {"steady", "wait_p95", "short work's wait p95, s"},
    {"steady", "wait_p99", "short work's wait p99, s"},
    {"without long", "wait_p99", "the same p99 without long work, s"},
    {"steady", "latency_p99", "p99 latency: with / without long work", "without long"},
    {"steady", "latency_p99", "p99 latency, none slow, s"},
    {"one slow", "latency_p99", "p99 latency, one slow, s"},
    {"one slow", "latency_p99", "p99 latency: one slow / none", "steady"},
    {"two slow", "latency_p99", "p99 latency, two slow, s"},
    {"two slow", "latency_p99", "p99 latency: two slow / none", "steady"},
    {"one slow", "good", "one slow: served in deadline, share"},
    {"two slow", "good", "two slow: served in deadline, share"},
    {"shift", "second_copy", "cold adapter: second copy after, s"},
    {"shift", "cold_loads", "cold adapter: loads"},
    {"shift", "good", "cold adapter: all served in deadline, share"}};

/// Measured values by scenario, strategy and seed.
using results = std::map<std::string, std::array<std::array<values, 5>, 3>>;

std::string cell(results& all, const row& line, std::size_t which) {
    double sum = 0, squares = 0;
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        const double base =
            line.relative_to.empty() ? 1 : all[line.relative_to][which][i].at(line.value);
        const double value = all[line.scenario][which][i].at(line.value) / base;
        sum += value;
        squares += value * value;
    }
    const double mean = sum / seeds.size();
    const double spread = std::sqrt(std::max(0.0, squares / seeds.size() - mean * mean));
    return fmt::format("{:.3f} ±{:.3f}", mean, spread);
}

} // namespace

int main() {
    for (const auto& sizes : bench::deployments) {
        results all;
        for (const auto& [name, course] : scenarios) {
            for (std::size_t i = 0; i < seeds.size() * strategies.size(); ++i) {
                const auto seed = i % seeds.size(), how = i / seeds.size();
                all[name][how][seed] = cluster(sizes, course, strategies[how], seeds[seed]).run();
            }
        }
        fmt::print("## {}\n\n| measure | random, LRU | least-loaded, LRU, FIFO | -> ours |\n"
                   "| --- | --- | --- | --- |\n",
                   sizes.name);
        for (const auto& line : rows) {
            fmt::print("| {} | {} | {} | {} |\n", line.label, cell(all, line, 0),
                       cell(all, line, 1), cell(all, line, 2));
        }
        fmt::print("\n");
    }
    return 0;
}
