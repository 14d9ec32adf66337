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
#include <map>
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

/// Nodes with calls of tenants and an allocator, on a network with delays and losses in memory.
class quota_network {
public:
    static constexpr time_point begin{std::chrono::hours{1}};
    static constexpr milliseconds step{10};
    static constexpr milliseconds tick{50};
    static constexpr milliseconds travel_time{22};
    static constexpr seconds window{8};
    /// A window has four pulses, which is more than its length of calls.
    static constexpr milliseconds pulse_period{2'600};
    static constexpr std::size_t call_tokens = 700;

    /// A call that arrives at a node.
    struct call {
        std::size_t tenant = 0;
        std::size_t node = 0;
        double cost = 0;
    };

    quota_network(std::size_t count, tenant limits)
        : quota_network(count, std::vector{std::move(limits)}) {}
    quota_network(std::size_t count, std::vector<tenant> tenants)
        : tenants_(std::move(tenants)), spent_(tenants_.size()) {
        const bool tokens = tenants_.front().unit == quota_unit::tokens;
        cost_ = tokens ? static_cast<double>(call_tokens) : 1;
        nodes_.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            restart(index);
        }
        allocator_ = make_allocator();
    }

    /// Calls per second of the first tenant at each node, at a time since the start.
    std::function<double(std::size_t node, milliseconds at)> demand;
    /// Returns the calls that arrive in the step at a time, in place of those of `demand`.
    std::function<std::vector<call>(time_point at)> arrivals;
    /// Time that a frame takes between a node and the allocator.
    std::function<support::duration(std::size_t node)> travel = [](auto) { return travel_time; };
    bool sends_in_pulses = false; ///< Calls wait for endpoints, which take them all every 2.6 s.
    double refused_share = 0;     ///< Of the calls with tokens, which no endpoint runs.
    double loss = 0;              ///< Share of the frames that are lost.
    bool leads_report = true;     ///< How many nodes are in touch.

    void cut_off(std::size_t node, bool cut) { nodes_.at(node).cut = cut; }
    void kill(std::size_t node) { nodes_.at(node).dead = true; }
    void restart(std::size_t index) {
        auto& node = nodes_.at(index);
        node.dead = false;
        node.wallet = std::make_unique<quota_wallet>();
        node.wallet->configure(tenants_);
        node.wallet->set_nodes(nodes_.size());
        node.waiting.clear();
    }
    void kill_allocator() { allocator_.reset(); }
    void replace_allocator() { allocator_ = make_allocator(); }
    void set_rate(double rate) {
        tenants_.front().rate_per_s = rate;
        for (auto& node : nodes_) {
            node.wallet->configure(tenants_);
        }
        allocator_->configure(tenants_, now_);
    }

    void run(seconds time) {
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            deliver();
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                turn(index);
            }
            for (const auto& arrived : arrivals ? arrivals(now_) : std::vector<call>{}) {
                take(arrived);
            }
            if ((now_ - begin) % tick == milliseconds{0}) {
                turn_allocator();
            }
        }
    }

    /// The most tokens of a tenant spent in a window that begins at `from` or later.
    [[nodiscard]] double most_in_window(seconds from = seconds{0}, std::size_t tenant = 0) const {
        const auto& spent = spent_.at(tenant);
        double most = 0;
        double sum = 0;
        auto first = spent.begin();
        for (const auto& [at, cost] : spent) {
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
    /// Tokens per second of a tenant spent since a time after the start.
    [[nodiscard]] double use_since(seconds from, std::size_t tenant = 0) const {
        double sum = 0;
        for (const auto& [at, cost] : spent_.at(tenant)) {
            sum += at >= begin + from ? cost : 0;
        }
        return sum / std::chrono::duration<double>(now_ - begin - from).count();
    }
    [[nodiscard]] std::size_t frames_of_node(std::size_t node) const {
        return nodes_.at(node).frames;
    }

private:
    struct waiting_call {
        std::uint64_t number = 0;
        call wanted;
        time_point until;
    };
    struct node_state {
        std::unique_ptr<quota_wallet> wallet;
        std::deque<waiting_call> waiting;
        bool cut = false;
        bool dead = false;
        std::size_t frames = 0;
        time_point request_arrives; ///< Arrival of the last one.
        time_point grant_arrives;
        std::vector<call> held; ///< Calls with tokens that are not sent.
    };

    std::unique_ptr<quota_allocator> make_allocator() const {
        auto made = std::make_unique<quota_allocator>();
        made->configure(tenants_, now_);
        made->set_nodes(nodes_.size(), now_);
        made->start(now_);
        return made;
    }

    /// Frames of one direction arrive in their order. `latest` is the last arrival.
    void transmit(std::size_t node, time_point& latest, std::function<void()> deliver) {
        if (std::uniform_real_distribution<>(0, 1)(random_) >= loss) {
            latest = std::max(latest, now_ + travel(node));
            frames_.emplace(latest, std::move(deliver));
        }
    }

    void deliver() {
        while (!frames_.empty() && frames_.begin()->first <= now_) {
            frames_.extract(frames_.begin()).mapped()();
        }
    }

    void spend(const call& granted) {
        auto& node = nodes_[granted.node];
        node.held.push_back(granted);
        if (!sends_in_pulses) {
            send_held(node);
        }
    }

    void send_held(node_state& node) {
        for (const auto& held : std::exchange(node.held, {})) {
            const auto& name = tenants_[held.tenant].name;
            if (std::uniform_real_distribution<>(0, 1)(random_) < refused_share) {
                node.wallet->give_back(name, held.cost, false, now_, now_);
                continue;
            }
            node.wallet->on_sent(name, held.cost);
            spent_[held.tenant].emplace_back(now_, held.cost);
        }
    }

    void take(const call& arrived) {
        auto& node = nodes_[arrived.node];
        const auto& name = tenants_[arrived.tenant].name;
        const auto decision = node.wallet->take(name, ++number_, arrived.cost, now_);
        if (decision == quota_decision::granted) {
            spend(arrived);
        } else if (decision == quota_decision::waits) {
            node.waiting.push_back({number_, arrived, now_ + quota_wallet::max_wait});
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
            const auto found = std::ranges::find(node.waiting, number, &waiting_call::number);
            const auto granted = found->wanted;
            node.waiting.erase(found);
            spend(granted);
        }
        while (!node.waiting.empty() && node.waiting.front().until <= now_) {
            const auto& front = node.waiting.front();
            wallet.cancel(tenants_[front.wanted.tenant].name, front.number);
            node.waiting.pop_front();
        }
        take_demand(index);
        if (auto request = wallet.take_due_request(now_)) {
            ++node.frames;
            if (!node.cut) {
                for (auto& row : request->rows) {
                    row.returned = std::floor(row.returned); // As frames carry it.
                }
                transmit(index, node.request_arrives, [this, index, message = std::move(*request)] {
                    if (allocator_) {
                        allocator_->request(std::to_string(index), message, now_);
                    }
                });
            }
        }
    }

    void take_demand(std::size_t index) {
        const double expected =
            demand ? demand(index, std::chrono::duration_cast<milliseconds>(now_ - begin)) *
                         std::chrono::duration<double>(step).count()
                   : 0;
        const int calls = expected > 0 ? std::poisson_distribution<int>(expected)(random_) : 0;
        for (int number = 0; number < calls; ++number) {
            take({0, index, cost_});
        }
    }

    void turn_allocator() {
        if (!allocator_) {
            return;
        }
        if (leads_report && (now_ - begin) % milliseconds{500} == milliseconds{0}) {
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
            transmit(index, nodes_[index].grant_arrives, [this, index, grant] {
                auto& node = nodes_[index];
                if (!node.dead) {
                    const time_point requested{
                        support::duration{static_cast<support::duration::rep>(grant.stamp)}};
                    node.wallet->on_answer(grant.rows, requested, now_);
                }
            });
        }
    }

    std::vector<tenant> tenants_;
    double cost_ = 0; ///< Of one call of `demand`.
    time_point now_ = begin;
    std::vector<node_state> nodes_;
    std::unique_ptr<quota_allocator> allocator_;
    std::multimap<time_point, std::function<void()>> frames_; ///< By the time of their arrival.
    std::vector<std::deque<std::pair<time_point, double>>> spent_; ///< By tenant.
    std::uint64_t number_ = 0;
    std::mt19937 random_{7};
};

} // namespace dragonflystair::fleet::testing
