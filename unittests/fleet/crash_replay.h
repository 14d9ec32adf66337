#pragma once

#include "dragonflystair/fleet/crash_suspects.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replays calls of several nodes to engines that crash on one part of their prompts, or of other
/// causes. Only the conclusions of the nodes are real. Clock and random source are the replay's.
class crash_replay {
public:
    struct load {
        std::size_t nodes = 8;
        std::size_t engines = 9;
        double calls_per_s = 150;
        double deadly_share = 0.05;
        milliseconds call_time{600};
        std::uint32_t seed = 1;
    };

    static constexpr std::uint64_t deadly_part = 0xdead;
    /// First parts of prompts; the deadly part always comes with the first of them.
    static constexpr std::uint64_t first_parts = 0xf0;
    static constexpr std::uint64_t first_part_count = 3;
    /// Second parts; the deadly part always comes with the first of them.
    static constexpr std::uint64_t second_parts = 0x5000;
    static constexpr std::uint64_t second_part_count = 262;

    /// What requests with the deadly part do.
    enum class part_state {
        absent, ///< None come.
        sound,  ///< They come and are served.
        deadly,
    };

    explicit crash_replay(load chosen)
        : load_(chosen), random_(chosen.seed), nodes_(chosen.nodes), engines_(chosen.engines) {}

    void play(milliseconds length, part_state state) {
        for (const auto end = now_ + length; now_ < end; now_ += step) {
            end_calls();
            deliver();
            if (tick_++ % ticks_per_update == 0) {
                for (std::size_t node = 0; node < nodes_.size(); ++node) {
                    nodes_[node].update(now_);
                    publish(node, nodes_[node].take_notice());
                }
            }
            arrive(state);
        }
    }

    /// Ends an engine of another cause than a request.
    void crash(std::size_t engine) {
        auto& target = engines_[engine];
        if (!is_up(target)) {
            return;
        }
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            endpoint_crash report;
            report.endpoint = "engine-" + std::to_string(engine);
            report.started_ms = target.run;
            for (const auto& call : target.calls) {
                if (call.node == node) {
                    report.requests.push_back(call.traits);
                }
            }
            if (!report.requests.empty()) {
                crash_notice notice;
                notice.crashes.push_back(nodes_[node].on_crash(std::move(report), now_));
                publish(node, notice);
            }
        }
        target.calls.clear();
        ++target.run;
        target.up_at = now_ + restart_time + milliseconds{uniform(500)};
        crashes_.push_back(now_);
    }

    /// Starts one more node, which is told what another one blocks.
    void add_node() {
        nodes_.emplace_back();
        crash_notice told;
        told.blocks = nodes_.front().blocks(now_);
        nodes_.back().on_notice(told, now_);
    }

    void forget_counts() { sound_ = {}; }

    [[nodiscard]] support::time_point now() const { return now_; }
    [[nodiscard]] const std::vector<support::time_point>& crashes() const { return crashes_; }
    [[nodiscard]] const std::vector<support::time_point>& deadly_sends() const { return deadly_; }
    /// Share of the sound calls that were sent to an engine at their only attempt.
    [[nodiscard]] double sound_share() const {
        return static_cast<double>(sound_.sent) / static_cast<double>(sound_.sent + sound_.refused);
    }
    [[nodiscard]] std::size_t traits_published() const { return published_; }

    /// Returns the parts that any node blocks.
    [[nodiscard]] std::vector<std::uint64_t> blocked_parts() const {
        std::vector<std::uint64_t> parts;
        for (const auto& node : nodes_) {
            for (const auto& block : node.blocks(now_)) {
                if (block.what.kind == trait_kind::prompt_part &&
                    std::ranges::find(parts, block.what.id) == parts.end()) {
                    parts.push_back(block.what.id);
                }
            }
        }
        return parts;
    }

private:
    struct open_call {
        std::size_t node = 0;
        request_traits traits;
        bool deadly = false;
        support::time_point ends;
    };
    struct engine_state {
        std::uint64_t run = 1;
        support::time_point up_at{};
        std::vector<open_call> calls;
    };
    struct message {
        support::time_point at;
        std::size_t sender = 0;
        crash_notice notice;
    };
    struct counts {
        std::size_t sent = 0;
        std::size_t refused = 0;
    };

    static constexpr milliseconds step{10};
    static constexpr int ticks_per_update = 5;
    static constexpr milliseconds restart_time{3'000};
    static constexpr milliseconds time_to_crash{120};

    int uniform(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }
    std::uint64_t pick(std::uint64_t count) {
        return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random_);
    }
    bool draw(double probability) { return std::bernoulli_distribution(probability)(random_); }
    [[nodiscard]] bool is_up(const engine_state& target) const { return now_ >= target.up_at; }

    void publish(std::size_t sender, const crash_notice& notice) {
        for (const auto& crash : notice.crashes) {
            for (const auto& request : crash.requests) {
                published_ += 1 + request.parts.size();
            }
        }
        published_ += notice.survived.size() + notice.suspected.size() + notice.blocks.size();
        if (notice.has_evidence() || notice.has_conclusions()) {
            messages_.push_back({now_ + milliseconds{60 + uniform(80)}, sender, notice});
        }
    }

    void deliver() {
        for (std::size_t i = 0; i < messages_.size();) {
            if (messages_[i].at > now_) {
                ++i;
                continue;
            }
            const auto due = messages_[i];
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i));
            for (std::size_t node = 0; node < nodes_.size(); ++node) {
                if (node != due.sender) {
                    nodes_[node].on_notice(due.notice, now_);
                }
            }
        }
    }

    void end_calls() {
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            auto& calls = engines_[index].calls;
            if (std::ranges::any_of(
                    calls, [&](const auto& call) { return call.deadly && call.ends <= now_; })) {
                crash(index);
                continue;
            }
            std::erase_if(calls, [&](const auto& call) {
                const bool ended = call.ends <= now_;
                if (ended) {
                    nodes_[call.node].on_served(call.traits, now_);
                }
                return ended;
            });
        }
    }

    void arrive(part_state state) {
        const double per_step = load_.calls_per_s * std::chrono::duration<double>(step).count();
        std::poisson_distribution<int> arrivals(per_step);
        for (int left = arrivals(random_); left > 0; --left) {
            const bool has_part = state != part_state::absent && draw(load_.deadly_share);
            send(has_part, state == part_state::deadly);
        }
    }

    void send(bool has_part, bool is_deadly) {
        const bool deadly = has_part && is_deadly;
        open_call sent;
        sent.node = pick(nodes_.size());
        sent.deadly = deadly;
        sent.traits.fingerprint = ++last_fingerprint_;
        sent.traits.parts = {first_parts + (has_part ? 0 : pick(first_part_count)),
                             second_parts + (has_part ? 0 : pick(second_part_count))};
        if (has_part) {
            sent.traits.parts.push_back(deadly_part);
        }
        auto& node = nodes_[sent.node];
        const bool refused =
            node.refused_for(sent.traits, now_) && !node.take_test(sent.traits, now_);
        std::vector<engine_state*> up;
        for (auto& target : engines_) {
            if (is_up(target)) {
                up.push_back(&target);
            }
        }
        const bool is_sent = !refused && !up.empty();
        if (!has_part) {
            ++(is_sent ? sound_.sent : sound_.refused);
        }
        if (!is_sent) {
            return;
        }
        if (deadly) {
            deadly_.push_back(now_);
        }
        sent.ends = now_ + (deadly ? time_to_crash : load_.call_time);
        up[pick(up.size())]->calls.push_back(std::move(sent));
    }

    load load_;
    std::mt19937 random_;
    std::vector<crash_suspects> nodes_;
    std::vector<engine_state> engines_;
    std::vector<message> messages_;
    std::vector<support::time_point> crashes_;
    std::vector<support::time_point> deadly_;
    counts sound_;
    std::size_t published_ = 0;
    std::uint64_t last_fingerprint_ = 0;
    int tick_ = 0;
    support::time_point now_{std::chrono::hours{1}};
};

} // namespace dragonflystair::fleet
