#include "dragonflystair/fleet/permit_divider.h"
#include "dragonflystair/fleet/send_permits.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::time_point;

constexpr std::string_view endpoint = "engine";
constexpr milliseconds step{10};
/// Time of a message between nodes: a round trip between regions takes twice as long.
constexpr milliseconds travel_time{20};
constexpr seconds window{4};
/// Time after which the use of a limit is measured.
constexpr seconds settling_time{3};

/// Requests that the platform's rule LIMIT allows in any window.
std::size_t allowed_in_window(double per_s) {
    return static_cast<std::size_t>(1.5 * per_s * window.count() + 5);
}

/// Nodes with calls for one endpoint that names a limit. One of them divides it. Messages take
/// `travel_time`; the clock is manual.
class limited_nodes {
public:
    limited_nodes(std::size_t count, double per_s) : per_s_(per_s) {
        for (std::size_t index = 0; index < count; ++index) {
            nodes_.push_back({"node-" + std::to_string(index), make_permits(index), true, false});
        }
        divider_.set_limit(endpoint, per_s, now_);
    }

    void set_limit(double per_s) {
        per_s_ = per_s;
        divider_.set_limit(endpoint, per_s, now_);
        for (auto& node : nodes_) {
            node.permits->set_limit(endpoint, per_s);
        }
    }
    /// Sets whether a node and the divider reach each other.
    void set_linked(std::size_t node, bool linked) { nodes_.at(node).linked = linked; }
    void set_all_linked(bool linked) {
        for (auto& node : nodes_) {
            node.linked = linked;
        }
    }
    void set_frozen(std::size_t node, bool frozen) { nodes_.at(node).frozen = frozen; }
    void restart(std::size_t node) { nodes_.at(node).permits = make_permits(node); }
    /// Replaces the divider, as another node that takes over.
    void replace_divider() {
        divider_ = {};
        divider_.set_limit(endpoint, per_s_, now_);
    }
    /// Sets the share of the nodes that have calls.
    void set_busy(std::size_t first, std::size_t last) {
        busy_first_ = first;
        busy_last_ = last;
    }
    void charge_order() {
        divider_.charge(endpoint, now_);
        sent_.push_back(now_);
    }

    void run(milliseconds time) {
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                turn(index);
            }
            for (const auto& grant : divider_.take_grants(now_)) {
                answers_.emplace_back(now_ + travel_time, grant);
            }
        }
    }

    [[nodiscard]] std::size_t most_in_window() const {
        std::size_t most = 0;
        auto end = sent_.begin();
        for (auto first = sent_.begin(); first != sent_.end(); ++first) {
            end = std::find_if(std::max(first, end), sent_.end(),
                               [&](auto at) { return at - *first >= window; });
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    [[nodiscard]] std::size_t sent_since(time_point begin) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(sent_, [&](auto at) { return at >= begin; }));
    }
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] std::size_t served(std::size_t node) const { return nodes_.at(node).served; }

private:
    struct node_state {
        std::string name;
        std::unique_ptr<send_permits> permits;
        bool linked = true;
        bool frozen = false;
        std::size_t served = 0;
    };

    std::unique_ptr<send_permits> make_permits(std::size_t index) const {
        auto permits = std::make_unique<send_permits>("node-" + std::to_string(index));
        permits->set_limit(endpoint, per_s_);
        permits->set_nodes(nodes_.empty() ? 1 : nodes_.size());
        return permits;
    }

    /// Delivers the answers to a node, sends its calls and requests more permits.
    void turn(std::size_t index) {
        auto& node = nodes_[index];
        if (node.frozen) {
            return;
        }
        node.permits->set_nodes(nodes_.size());
        for (const auto& [arrives, grant] : answers_) {
            if (arrives <= now_ && grant.node == node.name && node.linked) {
                const time_point requested{
                    support::duration{static_cast<support::duration::rep>(grant.request)}};
                node.permits->on_answer(endpoint, grant.count, requested, grant.next_in,
                                        grant.interval, now_);
            }
        }
        std::erase_if(answers_, [&](const auto& answer) {
            return answer.first <= now_ && answer.second.node == node.name;
        });
        const bool busy = index >= busy_first_ && index < busy_last_;
        while (busy && node.permits->take(endpoint, now_)) {
            sent_.push_back(now_);
            ++node.served;
        }
        node.permits->set_wanted({{std::string(endpoint), busy ? std::size_t{2} : 0}});
        for (const auto& request : node.permits->take_due_requests(now_)) {
            if (node.linked) {
                divider_.request(endpoint, node.name, request.wanted,
                                 static_cast<std::uint64_t>(now_.time_since_epoch().count()), now_);
            }
        }
    }

    double per_s_;
    time_point now_{std::chrono::hours{7}};
    std::vector<node_state> nodes_;
    permit_divider divider_;
    std::deque<std::pair<time_point, permit_grant>> answers_;
    std::vector<time_point> sent_;
    std::size_t busy_first_ = 0;
    std::size_t busy_last_ = 1'000'000;
};

/// A limit for all nodes together holds in every window, whatever happens to nodes and links.
class shared_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shared_limit_test);
    CPPUNIT_TEST(limit_is_kept_and_used_at_every_number_of_nodes);
    CPPUNIT_TEST(limit_is_kept_when_all_nodes_lose_the_divider);
    CPPUNIT_TEST(limit_is_kept_when_half_of_the_nodes_lose_the_divider);
    CPPUNIT_TEST(limit_is_kept_when_dividers_change);
    CPPUNIT_TEST(limit_is_kept_when_nodes_restart_and_freeze);
    CPPUNIT_TEST(idle_nodes_that_lost_the_divider_do_not_all_send_at_once);
    CPPUNIT_TEST(lowered_limit_is_kept_from_then_on);
    CPPUNIT_TEST(orders_count_towards_the_limit);
    CPPUNIT_TEST(waiting_nodes_are_served_in_turn);
    CPPUNIT_TEST(smallest_limit_still_admits_requests);
    CPPUNIT_TEST(delayed_answer_grants_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_is_kept_and_used_at_every_number_of_nodes() {
        for (const auto count : {1U, 8U, 60U, 360U}) {
            for (const double per_s : {0.5, 2.3, 40.0}) {
                limited_nodes nodes(count, per_s);
                nodes.run(settling_time);
                const auto begin = nodes.now();
                constexpr seconds measured{40};
                nodes.run(measured);
                check(nodes, per_s, count);
                CPPUNIT_ASSERT_MESSAGE(describe(per_s, count),
                                       static_cast<double>(nodes.sent_since(begin)) >=
                                           0.95 * per_s * static_cast<double>(measured.count()));
            }
        }
    }

    void limit_is_kept_when_all_nodes_lose_the_divider() {
        for (const auto count : {8U, 360U}) {
            limited_nodes nodes(count, 2.3);
            nodes.run(seconds{5});
            nodes.set_all_linked(false);
            nodes.run(seconds{60});
            nodes.set_all_linked(true);
            nodes.run(seconds{10});
            check(nodes, 2.3, count);
        }
    }

    /// Those that are left use the whole limit, and the others their part of the fallback.
    void limit_is_kept_when_half_of_the_nodes_lose_the_divider() {
        for (const auto count : {8U, 360U}) {
            limited_nodes nodes(count, 2.3);
            nodes.run(seconds{5});
            for (int turn = 0; turn < 5; ++turn) {
                for (std::size_t node = 0; node < count; node += 2) {
                    nodes.set_linked(node, turn % 2 == 1);
                }
                nodes.run(seconds{7});
            }
            check(nodes, 2.3, count);
        }
    }

    void limit_is_kept_when_dividers_change() {
        for (const auto count : {8U, 360U}) {
            limited_nodes nodes(count, 4.7);
            for (int turn = 0; turn < 8; ++turn) {
                nodes.run(seconds{2});
                nodes.set_all_linked(false);
                nodes.run(seconds{turn % 3});
                nodes.replace_divider();
                nodes.set_all_linked(true);
            }
            check(nodes, 4.7, count);
        }
    }

    void limit_is_kept_when_nodes_restart_and_freeze() {
        constexpr std::size_t count = 360;
        limited_nodes nodes(count, 2.3);
        for (std::size_t turn = 0; turn < 40; ++turn) {
            for (std::size_t node = turn % 7; node < count; node += 7) {
                nodes.restart(node);
            }
            for (std::size_t node = turn % 5; node < count; node += 5) {
                nodes.set_frozen(node, turn % 2 == 0);
            }
            nodes.run(seconds{1});
        }
        check(nodes, 2.3, count);
    }

    void idle_nodes_that_lost_the_divider_do_not_all_send_at_once() {
        constexpr std::size_t count = 360;
        limited_nodes nodes(count, 2.3);
        nodes.run(seconds{2});
        nodes.set_all_linked(false);
        nodes.run(seconds{2});
        nodes.set_busy(0, 0);
        nodes.run(std::chrono::minutes{2});
        nodes.set_busy(0, count);
        nodes.run(seconds{10});
        check(nodes, 2.3, count);
    }

    void lowered_limit_is_kept_from_then_on() {
        limited_nodes nodes(60, 40);
        nodes.run(seconds{10});
        const auto begin = nodes.now();
        nodes.set_limit(2);
        nodes.run(window);
        CPPUNIT_ASSERT(nodes.sent_since(begin) <= allowed_in_window(2) + 40);
        const auto later = nodes.now();
        nodes.run(window);
        CPPUNIT_ASSERT(nodes.sent_since(later) <= allowed_in_window(2));
    }

    void orders_count_towards_the_limit() {
        limited_nodes nodes(8, 4);
        for (int turn = 0; turn < 40; ++turn) {
            nodes.charge_order(); // Half of the limit.
            nodes.run(milliseconds{500});
        }
        check(nodes, 4, 8);
    }

    void waiting_nodes_are_served_in_turn() {
        constexpr std::size_t count = 12;
        limited_nodes nodes(count, 6);
        nodes.run(seconds{60});
        for (std::size_t node = 0; node < count; ++node) {
            CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(nodes.served(node)),
                                   nodes.served(node) >= 25);
        }
    }

    void smallest_limit_still_admits_requests() {
        limited_nodes nodes(8, 0.000001);
        nodes.run(seconds{60});
        CPPUNIT_ASSERT(nodes.sent_since({}) > 0);
        CPPUNIT_ASSERT(nodes.sent_since({}) <= 7);
    }

    void delayed_answer_grants_nothing() {
        send_permits permits("node");
        permits.set_limit(endpoint, 2);
        const time_point now{std::chrono::hours{1}};
        permits.on_answer(endpoint, 3, now - send_permits::permit_lifetime, {}, {}, now);
        CPPUNIT_ASSERT(!permits.allows(endpoint, now));
    }

private:
    static std::string describe(double per_s, std::size_t count) {
        return std::to_string(per_s) + " a second, " + std::to_string(count) + " nodes";
    }
    static void check(const limited_nodes& nodes, double per_s, std::size_t count) {
        const auto most = nodes.most_in_window();
        CPPUNIT_ASSERT_MESSAGE(describe(per_s, count) + ": " + std::to_string(most) +
                                   " in 4 s, allowed " + std::to_string(allowed_in_window(per_s)),
                               most <= allowed_in_window(per_s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_limit_test);

} // namespace
