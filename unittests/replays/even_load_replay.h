#pragma once

#include "fleet/samples.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

/// Replays calls of many nodes to the endpoints of one plain service. Each endpoint has one of four
/// speeds, a few slots and a short queue, and refuses calls beyond it. Nodes report their loads to
/// each other as the sum of all others, which is what a lead forwards. Every replay with the same
/// seed and size has the same arrivals.
class even_load_replay {
public:
    struct options {
        std::size_t nodes = 60; ///< One node knows all loads exactly.
        std::size_t endpoints = 90;
        milliseconds report_period{200};
        balancing balance;
        std::uint64_t seed = 7;
        milliseconds warm_up{1'000}; ///< Not counted; speeds are learned from its calls.
        milliseconds counted_time{3'000};
    };
    struct result {
        std::size_t calls = 0;
        std::size_t in_time = 0;
        std::size_t refused = 0;         ///< By an endpoint whose queue was full.
        std::size_t refused_by_node = 0; ///< Without being sent, as its node saw no free slot.
        double largest_load = 0;         ///< Sum over time and speeds.
        double mean_load = 0;            ///< Sum over time and speeds.
        std::size_t steps = 0;
        std::size_t uneven_steps = 0; ///< An endpoint has more calls than slots, another has none.

        [[nodiscard]] double share_in_time() const {
            return static_cast<double>(in_time) / static_cast<double>(calls);
        }
        [[nodiscard]] double share_refused() const {
            return static_cast<double>(refused + refused_by_node) / static_cast<double>(calls);
        }
        /// Returns the calls at the endpoint with the most calls relative to the mean of endpoints
        /// of the same speed. Speeds count in proportion to their load.
        [[nodiscard]] double largest_over_mean() const { return largest_load / mean_load; }
        [[nodiscard]] double share_uneven() const {
            return static_cast<double>(uneven_steps) / static_cast<double>(steps);
        }
    };

    explicit even_load_replay(const options& chosen)
        : options_(chosen), arrivals_(chosen.seed), durations_(chosen.seed + 1) {
        for (std::size_t i = 0; i < chosen.endpoints; ++i) {
            const auto id = "endpoint-" + std::to_string(i);
            indices_.emplace(id, i);
            endpoints_.push_back({id, speeds.at(i % speeds.size()), 0, {}});
        }
        for (std::size_t i = 0; i < chosen.nodes; ++i) {
            auto node = std::make_unique<dispatcher>(topology("north", {{"north", "n"}}));
            auto balance = chosen.balance;
            if (balance.seed) {
                balance.seed = *balance.seed + i;
            }
            node->balance(balance);
            node->configure(sample_configuration());
            for (const auto& target : endpoints_) {
                node->update(sample_endpoint(target.id, "register", slots));
            }
            nodes_.push_back(std::move(node));
        }
    }

    /// Replays the calls and returns the ends of those that arrive in the counted time.
    result run() {
        constexpr milliseconds step{1};
        const auto duration = options_.warm_up + options_.counted_time;
        for (milliseconds at{0}; at < duration + objective; at += step) {
            now_ = start + at;
            counted_ = at >= options_.warm_up && at < duration;
            end_calls();
            // A report is sent when counting begins, so reports of every age are counted.
            if ((at - options_.warm_up) % options_.report_period == milliseconds{0}) {
                exchange_reports();
            }
            if (at < duration) {
                // A burst of twice the usual load for 200 ms in each second. One ends when counting
                // begins, so it has the same place among the reports for any warm-up.
                constexpr milliseconds second{1'000};
                const auto since_burst = ((at - options_.warm_up) % second + second) % second;
                const bool burst = since_burst >= milliseconds{800};
                arrive(burst ? 2 * usual_load : usual_load);
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                pump(i);
            }
            if (counted_) {
                observe_loads();
            }
        }
        return result_;
    }

private:
    static constexpr std::array speeds{0.55, 0.75, 1.0, 1.2};
    static constexpr std::size_t slots = 4;
    static constexpr std::size_t queue_places = 4;
    static constexpr milliseconds call_time{100};
    static constexpr milliseconds objective{300};
    /// Share of the slots that are occupied on average, for endpoints of speed 1.
    static constexpr double usual_load = 0.4;

    struct call {
        std::size_t node = 0;
        std::uint64_t number = 0;
        support::time_point arrived;
        bool counted = false;
    };
    struct target_state {
        std::string id;
        double speed = 1;
        std::size_t running = 0;
        std::deque<call> queue;
    };
    struct end {
        support::time_point at;
        std::size_t target = 0;
        call ended;
        bool operator>(const end& other) const { return at > other.at; }
    };

    void arrive(double load) {
        const double per_step = load * static_cast<double>(slots * options_.endpoints) /
                                static_cast<double>(call_time.count());
        std::poisson_distribution<int> count(per_step);
        // One draw for any number of nodes, so that all replays have the same arrivals.
        std::uniform_int_distribution<std::size_t> any_number;
        for (int left = count(arrivals_); left > 0; --left) {
            const auto node = any_number(arrivals_) % nodes_.size();
            const auto number = ++last_number_;
            calls_[number] = {node, number, now_, counted_};
            result_.calls += counted_ ? 1 : 0;
            nodes_[node]->submit(sample_call(number, "register", now_, objective));
        }
    }

    void pump(std::size_t node) {
        for (const auto& decision : nodes_[node]->pump(now_)) {
            const auto sent = calls_.at(decision.number);
            calls_.erase(decision.number);
            if (decision.endpoint.empty()) {
                result_.refused_by_node += sent.counted ? 1 : 0;
                nodes_[node]->finish(decision.number, now_);
                continue;
            }
            const auto index = indices_.at(decision.endpoint);
            auto& target = endpoints_[index];
            if (target.running < slots) {
                begin(index, sent);
            } else if (target.queue.size() < queue_places) {
                target.queue.push_back(sent);
            } else {
                result_.refused += sent.counted ? 1 : 0;
                nodes_[node]->finish(decision.number, now_);
            }
        }
    }

    void begin(std::size_t target, const call& started) {
        std::lognormal_distribution<double> noise(0, 0.2);
        ++endpoints_[target].running;
        const std::chrono::duration<double, std::milli> took(
            static_cast<double>(call_time.count()) / endpoints_[target].speed * noise(durations_));
        ends_.push({now_ + std::chrono::duration_cast<support::duration>(took), target, started});
    }

    void end_calls() {
        while (!ends_.empty() && ends_.top().at <= now_) {
            const auto [at, target, ended] = ends_.top();
            ends_.pop();
            auto& node = *nodes_[ended.node];
            node.on_started(ended.number, at);
            node.finish(ended.number, at);
            result_.in_time += ended.counted && at - ended.arrived <= objective ? 1 : 0;
            --endpoints_[target].running;
            if (!endpoints_[target].queue.empty()) {
                const auto next = endpoints_[target].queue.front();
                endpoints_[target].queue.pop_front();
                begin(target, next);
            }
        }
    }

    void exchange_reports() {
        if (nodes_.size() == 1) {
            return;
        }
        std::vector<std::size_t> sum(endpoints_.size());
        std::vector<std::vector<std::size_t>> own;
        for (const auto& node : nodes_) {
            auto& loads = own.emplace_back(endpoints_.size());
            for (const auto& [id, load] : node->own_loads()) {
                const auto index = indices_.at(id);
                loads[index] = load.calls;
                sum[index] += load.calls;
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            for (std::size_t target = 0; target < endpoints_.size(); ++target) {
                nodes_[i]->set_peer_load("lead", endpoints_[target].id,
                                         {sum[target] - own[i][target], 0}, now_);
            }
        }
    }

    void observe_loads() {
        std::array<std::size_t, speeds.size()> largest{}, sum{}, count{};
        bool over = false;
        bool idle = false;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            const auto load = endpoints_[i].running + endpoints_[i].queue.size();
            const auto speed = i % speeds.size();
            largest.at(speed) = std::max(largest.at(speed), load);
            sum.at(speed) += load;
            ++count.at(speed);
            over = over || load > slots;
            idle = idle || load == 0;
        }
        for (std::size_t i = 0; i < speeds.size(); ++i) {
            result_.largest_load += static_cast<double>(largest.at(i));
            result_.mean_load += static_cast<double>(sum.at(i)) / static_cast<double>(count.at(i));
        }
        ++result_.steps;
        result_.uneven_steps += over && idle ? 1 : 0;
    }

    options options_;
    std::mt19937_64 arrivals_;
    std::mt19937_64 durations_;
    std::vector<target_state> endpoints_;
    std::unordered_map<std::string, std::size_t> indices_;
    std::vector<std::unique_ptr<dispatcher>> nodes_;
    std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
    std::unordered_map<std::uint64_t, call> calls_; ///< That wait at their nodes.
    std::uint64_t last_number_ = 0;
    support::time_point now_;
    bool counted_ = false;
    result result_;
};

} // namespace dragonflystair::fleet
