#include "dragonflystair/fleet/permit_divider.h"
#include "dragonflystair/fleet/send_permits.h"

#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::time_point;

constexpr milliseconds step{10};
constexpr milliseconds travel_time{20};
constexpr milliseconds objective{500};
constexpr milliseconds work_time{50};

/// One node with its dispatcher and permits, the calls that it was given, and their outcomes.
struct node {
    node(std::size_t index, std::size_t nodes, double per_s)
        : name("node-" + std::to_string(index)), permits(name),
          calls(topology("north", {{"north", "n"}})) {
        calls.configure(sample_configuration());
        calls.update(sample_endpoint("endpoint", "register", 100));
        permits.set_limit("endpoint", per_s);
        permits.set_nodes(nodes);
        calls.use_permits(permits);
    }

    std::string name;
    send_permits permits;
    dispatcher calls;
    std::uint64_t last_call = 0;
    std::deque<std::pair<time_point, std::uint64_t>> running; ///< With the end of each.
    std::size_t placed = 0;
    std::size_t refused = 0;
    std::size_t refused_late = 0; ///< After more than half of the objective.
};

/// Calls on all nodes for one endpoint with a limit, at twice the rate that it accepts. Calls that
/// are refused do not return.
class limited_calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limited_calls_test);
    CPPUNIT_TEST(limit_is_used_while_callers_wait);
    CPPUNIT_TEST(most_calls_beyond_the_limit_are_refused_early);
    CPPUNIT_TEST(node_with_few_calls_is_not_starved_by_one_with_many);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_is_used_while_callers_wait() {
        for (const auto count : {1U, 8U, 60U}) {
            for (const double per_s : {2.0, 10.0, 50.0}) {
                play(count, per_s);
                std::size_t placed = 0;
                for (const auto& each : nodes_) {
                    placed += each->placed;
                }
                const double share =
                    static_cast<double>(placed) / (per_s * static_cast<double>(played.count()));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " nodes, " + std::to_string(per_s) +
                                           " a second: used " + std::to_string(share),
                                       share >= 0.95);
            }
        }
    }

    void most_calls_beyond_the_limit_are_refused_early() {
        play(8, 10);
        std::size_t refused = 0;
        std::size_t late = 0;
        for (const auto& each : nodes_) {
            refused += each->refused;
            late += each->refused_late;
        }
        CPPUNIT_ASSERT(refused > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " of " + std::to_string(refused),
                               2 * late < refused);
    }

    /// The first node gets four calls of five; each could use the whole limit.
    void node_with_few_calls_is_not_starved_by_one_with_many() {
        constexpr double per_s = 2;
        play(2, per_s, 5, [](std::size_t number) { return number % 5 == 0 ? 1U : 0U; });
        const auto fair_share = 0.5 * per_s * static_cast<double>(played.count());
        for (const auto& each : nodes_) {
            CPPUNIT_ASSERT_MESSAGE(each->name + " placed " + std::to_string(each->placed),
                                   static_cast<double>(each->placed) >= 0.5 * fair_share);
        }
    }

private:
    static constexpr seconds played{60};
    /// Returns the node that gets a call, by the number of the call.
    using spread = std::function<std::size_t(std::size_t number)>;

    void play(std::size_t count, double per_s) {
        // A fixed stride spreads the calls over the nodes in no simple order.
        play(count, per_s, 2, [count](std::size_t number) { return 7 * number % count; });
    }

    /// Plays calls at `demand` times the limit.
    void play(std::size_t count, double per_s, double demand, const spread& node_of) {
        nodes_.clear();
        divider_ = {};
        answers_.clear();
        divider_.set_limit("endpoint", per_s, start);
        for (std::size_t index = 0; index < count; ++index) {
            nodes_.push_back(std::make_unique<node>(index, count, per_s));
        }
        double due = 0;
        std::size_t calls = 0;
        for (auto now = start; now < start + played; now += step) {
            due += demand * per_s * std::chrono::duration<double>(step).count();
            for (; due >= 1; due -= 1) {
                submit(*nodes_.at(node_of(calls++)), now);
            }
            for (const auto& each : nodes_) {
                turn(*each, now);
            }
            for (const auto& grant : divider_.take_grants(now)) {
                answers_.emplace_back(now + travel_time, grant);
            }
        }
    }

    static void submit(node& at, time_point now) {
        arrivals()[{&at, ++at.last_call}] = now;
        at.calls.submit(sample_call(at.last_call, "register", now, objective));
    }

    void turn(node& at, time_point now) {
        for (const auto& [arrives, grant] : answers_) {
            if (arrives == now && grant.node == at.name) {
                const time_point requested{
                    support::duration{static_cast<support::duration::rep>(grant.request)}};
                at.permits.on_answer("endpoint", grant.count, requested, grant.next_in,
                                     grant.interval, now);
                at.calls.on_permits_changed();
            }
        }
        while (!at.running.empty() && at.running.front().first <= now) {
            at.calls.finish(at.running.front().second, now);
            at.running.pop_front();
        }
        for (const auto& decision : at.calls.pump(now)) {
            if (!decision.endpoint.empty()) {
                ++at.placed;
                at.running.emplace_back(now + work_time, decision.number);
                continue;
            }
            ++at.refused;
            at.refused_late += now - arrivals().at({&at, decision.number}) > objective / 2 ? 1 : 0;
            at.calls.finish(decision.number, now);
        }
        at.permits.set_wanted(at.calls.permit_demand());
        for (const auto& request : at.permits.take_due_requests(now)) {
            divider_.request("endpoint", at.name, request.wanted,
                             static_cast<std::uint64_t>(now.time_since_epoch().count()), now);
        }
    }

    static std::map<std::pair<const node*, std::uint64_t>, time_point>& arrivals() {
        static std::map<std::pair<const node*, std::uint64_t>, time_point> all;
        return all;
    }

    std::vector<std::unique_ptr<node>> nodes_;
    permit_divider divider_;
    std::deque<std::pair<time_point, permit_grant>> answers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_calls_test);

} // namespace
