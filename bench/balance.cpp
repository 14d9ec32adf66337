/// Compares the ways in which nodes with old reports choose between plain endpoints of unequal
/// speed. Prints one table and writes a plot of the share of calls in time. The calls are replayed
/// with a manual clock and fixed seeds, so every run prints the same.

#include "balance/line_plot.h"
#include "replays/even_load_replay.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace {

using dragonflystair::fleet::balancing;
using dragonflystair::fleet::even_load_replay;
using std::chrono::milliseconds;

constexpr auto usage = R"(Compares the choices between endpoints of unequal speed.

Usage:
  bench_balance [--plot FILE] [--threads COUNT]
  bench_balance --help

Options:
  --plot FILE      Write an SVG plot of the share of calls in time.
  --threads COUNT  Replays at the same time, of up to 0.4 GB each [default: 3].
)";

constexpr std::array<milliseconds, 4> report_periods{milliseconds{100}, milliseconds{200},
                                                     milliseconds{500}, milliseconds{2'000}};

/// Number of nodes and endpoints. The largest size has ten times the calls per second of the other,
/// and each of them is compared with ten times as many endpoints, so it is replayed for less time
/// and with one seed.
struct deployment_size {
    std::size_t nodes = 0;
    std::size_t endpoints = 0;
    std::vector<std::uint64_t> seeds;
    milliseconds warm_up{0};
    milliseconds min_counted_time{0};
};
const std::array<deployment_size, 2> sizes{
    {{60, 90, {7, 8, 9}, milliseconds{1'000}, milliseconds{4'000}},
     {360, 880, {7}, milliseconds{500}, milliseconds{1'000}}}};

struct strategy {
    std::string name;
    bool learned_speed = false;
    bool random = false;
    /// Whether one node places all calls and therefore knows the loads and speeds exactly.
    bool exact = false;
};
const std::array<strategy, 5> strategies{{{"least cost"},
                                          {"least cost, learned speed", true},
                                          {"random choice", false, true},
                                          {"random choice, learned speed", true, true},
                                          {"perfect knowledge", true, false, true}}};

struct replay_case {
    const deployment_size* size = nullptr;
    const strategy* choice = nullptr;
    milliseconds report_period{0};
    double in_time = 0;
    double refused = 0;
    double largest_over_mean = 0;
    double uneven = 0;
};

void run(replay_case& entry) {
    for (const auto seed : entry.size->seeds) {
        even_load_replay::options options;
        options.nodes = entry.choice->exact ? 1 : entry.size->nodes;
        options.endpoints = entry.size->endpoints;
        options.report_period = entry.report_period;
        options.balance.learned_speed = entry.choice->learned_speed;
        if (entry.choice->random) {
            options.balance.seed = seed;
        }
        options.seed = seed;
        options.warm_up = entry.size->warm_up;
        options.counted_time = std::max(entry.size->min_counted_time, entry.report_period);
        const auto measured = even_load_replay(options).run();
        const double weight = 1 / static_cast<double>(entry.size->seeds.size());
        entry.in_time += weight * measured.share_in_time();
        entry.refused += weight * measured.share_refused();
        entry.largest_over_mean += weight * measured.largest_over_mean();
        entry.uneven += weight * measured.share_uneven();
    }
}

/// Returns all cases, ordered by size, strategy and period. Perfect knowledge needs no reports, so
/// it has one period.
std::vector<replay_case> list_cases() {
    std::vector<replay_case> cases;
    for (const auto& size : sizes) {
        for (const auto& choice : strategies) {
            for (const auto period : report_periods) {
                if (!choice.exact || period == report_periods.front()) {
                    cases.push_back({&size, &choice, period});
                }
            }
        }
    }
    return cases;
}

void run_all(std::vector<replay_case>& cases, std::size_t threads) {
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> workers;
    for (std::size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            // The last cases are the largest and begin first, so that the threads end together.
            for (auto done = next++; done < cases.size(); done = next++) {
                run(cases[cases.size() - 1 - done]);
            }
        });
    }
}

void print_table(const std::vector<replay_case>& cases) {
    fmt::print(
        "| nodes, endpoints | reports | choice | in time | refused | largest / mean | uneven "
        "|\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto& size : sizes) {
        for (const auto period : report_periods) {
            for (const auto& entry : cases) {
                if (entry.size == &size && entry.report_period == period) {
                    fmt::print("| {}, {} | {} | {} | {:.3f} | {:.3f} | {:.2f} | {:.3f} |\n",
                               size.nodes, size.endpoints,
                               entry.choice->exact ? "any" : fmt::format("{} ms", period.count()),
                               entry.choice->name, entry.in_time, entry.refused,
                               entry.largest_over_mean, entry.uneven);
                }
            }
        }
    }
}

void write_plot(const std::string& file, const std::vector<replay_case>& cases) {
    std::vector<bench::plot_panel> panels;
    for (const auto& size : sizes) {
        auto& panel = panels.emplace_back();
        panel.title = fmt::format("{} nodes, {} endpoints", size.nodes, size.endpoints);
        for (const auto& choice : strategies) {
            auto& line = panel.lines.emplace_back();
            line.name = choice.name;
            for (const auto& entry : cases) {
                if (entry.size != &size || entry.choice != &choice) {
                    continue;
                }
                const auto x = static_cast<double>(entry.report_period.count());
                line.points.push_back({x, entry.in_time});
                if (choice.exact) {
                    const auto last = static_cast<double>(report_periods.back().count());
                    line.points.push_back({last, entry.in_time});
                }
            }
        }
    }
    std::ofstream out(file);
    out << bench::draw_plot(panels, {"period of reports, ms", "share of calls in time"});
    if (!out.flush()) {
        throw std::runtime_error(fmt::format("cannot write {}", file));
    }
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
        const auto threads = arguments.at("--threads").asLong();
        auto cases = list_cases();
        run_all(cases, static_cast<std::size_t>(std::max(threads, 1L)));
        print_table(cases);
        if (const auto& plot = arguments.at("--plot")) {
            write_plot(plot.asString(), cases);
        }
        return 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "bench_balance: {}\n", error.what());
        return 1;
    }
}
