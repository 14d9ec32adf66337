#pragma once

#include "dragonflystair/fleet/quota_allocator.h"
#include "dragonflystair/fleet/quota_wallet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::fleet::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::time_point;

/// Nodes with calls of one tenant and an allocator, on a network with delays and losses in memory.
class quota_network {
public:
    static constexpr milliseconds step{10};
    static constexpr milliseconds tick{50};
    static constexpr milliseconds travel_time{22};
    static constexpr seconds window{8};
    /// A window has four pulses, which is more than its length of calls.
    static constexpr milliseconds pulse_period{2'600};
    static constexpr std::size_t call_tokens = 700;

    quota_network(std::size_t count, tenant limits) : tenant_(std::move(limits)) {
        cost_ = tenant_.unit == quota_unit::tokens ? static_cast<double>(call_tokens) : 1;
        nodes_.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            restart(index);
        }
        allocator_ = make_allocator();
    }

    /// Calls per second at each node, at a time since the start.
    std::function<double(std::size_t node, milliseconds at)> demand;
    bool sends_in_pulses = false; ///< Calls wait for endpoints, which take them all every 2.6 s.
    double refused_share = 0;     ///< Of the calls with tokens, which no endpoint runs.
    double loss = 0;              ///< Share of the frames that are lost.

    void cut_off(std::size_t node, bool cut) { nodes_.at(node).cut = cut; }
    void kill(std::size_t node) { nodes_.at(node).dead = true; }
    void restart(std::size_t index) {
        auto& node = nodes_.at(index);
        node.dead = false;
        node.wallet = std::make_unique<quota_wallet>();
        node.wallet->configure(std::vector{tenant_});
        node.wallet->set_nodes(nodes_.size());
        node.waiting.clear();
    }
    void kill_allocator() { allocator_.reset(); }
    void replace_allocator() { allocator_ = make_allocator(); }
    void set_rate(double rate) {
        tenant_.rate_per_s = rate;
        for (auto& node : nodes_) {
            node.wallet->configure(std::vector{tenant_});
        }
        allocator_->configure(std::vector{tenant_}, now_);
    }

    void run(seconds time) {
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            deliver();
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                turn(index);
            }
            if ((now_ - begin) % tick == milliseconds{0}) {
                turn_allocator();
            }
        }
    }

    /// The most tokens spent in a window that begins at `from` or later.
    [[nodiscard]] double most_in_window(seconds from = seconds{0}) const {
        double most = 0;
        double sum = 0;
        auto first = spent_.begin();
        for (const auto& [at, cost] : spent_) {
            if (at < begin + from) {
                ++first;
                continue;
            }
            sum += cost;
            for (; at - first->first >= window; ++first) {
                sum -= first->second;
            }
            most = std::max(most, sum);
        }
        return most;
    }
    /// Tokens per second spent since a time after the start.
    [[nodiscard]] double use_since(seconds from) const {
        double sum = 0;
        for (const auto& [at, cost] : spent_) {
            sum += at >= begin + from ? cost : 0;
        }
        return sum / std::chrono::duration<double>(now_ - begin - from).count();
    }
    [[nodiscard]] std::size_t frames_of_node(std::size_t node) const {
        return nodes_.at(node).frames;
    }

private:
    static constexpr time_point begin{std::chrono::hours{1}};

    struct waiting_call {
        std::uint64_t number = 0;
        time_point until;
    };
    struct node_state {
        std::unique_ptr<quota_wallet> wallet;
        std::deque<waiting_call> waiting;
        bool cut = false;
        bool dead = false;
        std::size_t frames = 0;
        std::size_t held = 0; ///< Calls with tokens that are not sent.
    };
    struct frame {
        time_point arrives;
        std::function<void()> deliver;
    };

    std::unique_ptr<quota_allocator> make_allocator() const {
        auto made = std::make_unique<quota_allocator>();
        made->configure(std::vector{tenant_}, now_);
        made->set_nodes(nodes_.size(), now_);
        made->start(now_);
        return made;
    }

    void transmit(std::function<void()> deliver) {
        if (std::uniform_real_distribution<>(0, 1)(random_) >= loss) {
            frames_.push_back({now_ + travel_time, std::move(deliver)});
        }
    }

    void deliver() {
        while (!frames_.empty() && frames_.front().arrives <= now_) {
            const auto next = std::move(frames_.front());
            frames_.pop_front();
            next.deliver();
        }
    }

    void spend(node_state& node) {
        ++node.held;
        if (!sends_in_pulses) {
            send_held(node);
        }
    }

    void send_held(node_state& node) {
        for (; node.held > 0; --node.held) {
            if (std::uniform_real_distribution<>(0, 1)(random_) < refused_share) {
                node.wallet->give_back(tenant_.name, cost_, false, now_, now_);
                continue;
            }
            node.wallet->on_sent(tenant_.name, cost_);
            spent_.emplace_back(now_, cost_);
        }
    }

    void turn(std::size_t index) {
        auto& node = nodes_[index];
        if (node.dead) {
            return;
        }
        auto& wallet = *node.wallet;
        if ((now_ - begin) % pulse_period == seconds{0}) {
            send_held(node);
        }
        for (const auto number : wallet.take_granted(now_)) {
            std::erase_if(node.waiting, [&](const auto& call) { return call.number == number; });
            spend(node);
        }
        while (!node.waiting.empty() && node.waiting.front().until <= now_) {
            wallet.cancel(tenant_.name, node.waiting.front().number);
            node.waiting.pop_front();
        }
        const double expected =
            demand(index, std::chrono::duration_cast<milliseconds>(now_ - begin)) *
            std::chrono::duration<double>(step).count();
        const int calls = expected > 0 ? std::poisson_distribution<int>(expected)(random_) : 0;
        for (int call = 0; call < calls; ++call) {
            const auto decision = wallet.take(tenant_.name, ++number_, cost_, now_);
            if (decision == quota_decision::granted) {
                spend(node);
            } else if (decision == quota_decision::waits) {
                node.waiting.push_back({number_, now_ + quota_wallet::max_wait});
            }
        }
        if (auto request = wallet.take_due_request(now_)) {
            ++node.frames;
            if (!node.cut) {
                transmit([this, index, message = std::move(*request)] {
                    if (allocator_) {
                        allocator_->request(std::to_string(index), message, now_);
                    }
                });
            }
        }
    }

    void turn_allocator() {
        if (!allocator_) {
            return;
        }
        if ((now_ - begin) % milliseconds{500} == milliseconds{0}) {
            const auto in_touch = std::ranges::count_if(
                nodes_, [](const auto& node) { return !node.cut && !node.dead; });
            allocator_->on_nodes_in_touch("north", static_cast<std::size_t>(in_touch), now_);
        }
        for (auto& grant : allocator_->take_grants(now_)) {
            for (auto& row : grant.rows) {
                row.amount = std::floor(row.amount); // As frames carry it.
            }
            const auto index = std::stoul(grant.node);
            if (nodes_[index].cut) {
                continue;
            }
            transmit([this, index, grant] {
                auto& node = nodes_[index];
                if (!node.dead) {
                    const time_point requested{
                        support::duration{static_cast<support::duration::rep>(grant.stamp)}};
                    node.wallet->on_answer(grant.rows, requested, now_);
                }
            });
        }
    }

    tenant tenant_;
    double cost_ = 0; ///< Of one call.
    time_point now_ = begin;
    std::vector<node_state> nodes_;
    std::unique_ptr<quota_allocator> allocator_;
    std::deque<frame> frames_;
    std::deque<std::pair<time_point, double>> spent_;
    std::uint64_t number_ = 0;
    std::mt19937 random_{7};
};

} // namespace dragonflystair::fleet::testing
