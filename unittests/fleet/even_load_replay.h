#pragma once

#include "dragonflystair/fleet/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

/// Replays calls of many nodes to the endpoints of one plain service. Each endpoint has a speed, a
/// few slots and a short queue, and refuses calls beyond it. Nodes report their loads to each other
/// as the sum of all others, which is what a lead forwards.
class even_load_replay {
public:
    struct options {
        std::size_t nodes = 60; ///< One node knows all loads exactly.
        std::size_t endpoints = 90;
        milliseconds report_period{200};
        balancing balance;
    };
    struct result {
        std::size_t calls = 0;
        std::size_t in_time = 0;
        std::size_t refused = 0; ///< By an endpoint whose queue was full.

        [[nodiscard]] double share_in_time() const {
            return static_cast<double>(in_time) / static_cast<double>(calls);
        }
    };

    explicit even_load_replay(const options& chosen) : options_(chosen) {
        constexpr double slowest = 0.55;
        constexpr double fastest = 1.2;
        std::uniform_real_distribution<double> speed(slowest, fastest);
        for (std::size_t i = 0; i < chosen.endpoints; ++i) {
            endpoints_.push_back({"endpoint-" + std::to_string(i), speed(random_), 0, {}});
        }
        configuration current;
        service registry;
        registry.name = "register";
        current.services = {{"register", registry}};
        for (std::size_t i = 0; i < chosen.nodes; ++i) {
            auto node = std::make_unique<dispatcher>(topology("north", {{"north", "n"}}));
            auto balance = chosen.balance;
            if (balance.seed) {
                balance.seed = *balance.seed + i;
            }
            node->balance(balance);
            node->configure(current);
            for (const auto& target : endpoints_) {
                endpoint_record record;
                record.id = target.id;
                record.service = "register";
                record.data_centre = "north";
                record.slots = slots;
                record.started_ms = 1;
                node->update(record);
            }
            nodes_.push_back(std::move(node));
        }
    }

    /// Replays the calls and returns the ends of those that arrive after the first second, in which
    /// speeds are learned.
    result run() {
        constexpr milliseconds step{1};
        constexpr milliseconds warm_up{1'000};
        constexpr milliseconds duration{4'000};
        for (milliseconds at{0}; at < duration + objective; at += step) {
            now_ = start + at;
            counted_ = at >= warm_up;
            end_calls();
            if (at % options_.report_period == milliseconds{0}) {
                exchange_reports();
            }
            if (at < duration) {
                // A burst of twice the usual load for 200 ms in each second.
                const bool burst = at % milliseconds{1'000} >= milliseconds{800};
                arrive(burst ? 2 * usual_load : usual_load);
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                pump(i);
            }
        }
        return result_;
    }

private:
    static constexpr support::time_point start{std::chrono::hours{1}};
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
        std::uniform_int_distribution<std::size_t> any_node(0, nodes_.size() - 1);
        for (int left = count(random_); left > 0; --left) {
            pending_call pending;
            pending.number = ++last_number_;
            pending.service = "register";
            pending.arrived = now_;
            pending.objective_deadline = now_ + objective;
            pending.queue_deadline = pending.objective_deadline;
            const auto node = any_node(random_);
            calls_[pending.number] = {node, pending.number, now_, counted_};
            result_.calls += counted_ ? 1 : 0;
            nodes_[node]->submit(std::move(pending));
        }
    }

    void pump(std::size_t node) {
        for (const auto& decision : nodes_[node]->pump(now_)) {
            const auto& sent = calls_.at(decision.number);
            if (decision.endpoint.empty()) {
                nodes_[node]->finish(decision.number, now_);
                continue;
            }
            const auto found = std::ranges::find(endpoints_, decision.endpoint, &target_state::id);
            auto& target = *found;
            if (target.running < slots) {
                begin(static_cast<std::size_t>(found - endpoints_.begin()), sent);
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
            static_cast<double>(call_time.count()) / endpoints_[target].speed * noise(random_));
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
        std::map<std::string, std::size_t> sum;
        std::vector<std::map<std::string, endpoint_load>> own;
        for (const auto& node : nodes_) {
            own.push_back(node->own_loads());
            for (const auto& [id, load] : own.back()) {
                sum[id] += load.calls;
            }
        }
        for (std::size_t i = 0; i < nodes_.size() && nodes_.size() > 1; ++i) {
            for (const auto& target : endpoints_) {
                const auto found = own[i].find(target.id);
                const auto of_node = found == own[i].end() ? 0 : found->second.calls;
                nodes_[i]->set_peer_load("lead", target.id, {sum[target.id] - of_node, 0}, now_);
            }
        }
    }

    options options_;
    std::mt19937_64 random_{7};
    std::vector<target_state> endpoints_;
    std::vector<std::unique_ptr<dispatcher>> nodes_;
    std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
    std::map<std::uint64_t, call> calls_;
    std::uint64_t last_number_ = 0;
    support::time_point now_;
    bool counted_ = false;
    result result_;
};

} // namespace dragonflystair::fleet
