#include "adapter_planner_fixture.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

/// Which adapters engines hold, and the orders for it.
class adapter_planner_test : public adapter_planner_fixture {
    CPPUNIT_TEST_SUITE(adapter_planner_test);
    CPPUNIT_TEST(waiting_calls_get_one_load);
    CPPUNIT_TEST(adapter_is_ready_when_the_repeated_order_holds);
    CPPUNIT_TEST(full_engine_drops_the_adapter_that_nothing_uses);
    CPPUNIT_TEST(engine_whose_adapters_are_all_in_use_drops_none);
    CPPUNIT_TEST(adapter_without_use_in_a_whole_report_period_makes_room);
    CPPUNIT_TEST(busy_engine_that_had_the_adapter_is_waited_for_a_moment);
    CPPUNIT_TEST(new_holder_knows_which_engine_had_an_adapter);
    CPPUNIT_TEST(burst_of_rare_adapters_never_exceeds_the_places);
    CPPUNIT_TEST(engine_that_restarts_empty_loads_its_model_first);
    CPPUNIT_TEST(one_refused_order_does_not_bring_a_stale_report);
    CPPUNIT_TEST(adapter_whose_unload_is_refused_stays_ready);
    CPPUNIT_TEST(lasting_conflict_asks_for_a_report);
    CPPUNIT_TEST(new_holder_asks_for_a_report_before_its_first_order);
    CPPUNIT_TEST(new_version_replaces_the_busy_adapter_and_drops_the_idle_one);
    CPPUNIT_TEST(few_diverted_calls_bring_no_copy);
    CPPUNIT_TEST(many_diverted_calls_bring_a_copy);
    CPPUNIT_TEST(adapter_stays_until_the_calls_that_were_refused_for_it_are_back);
    CPPUNIT_TEST(demand_that_no_order_met_is_told_with_its_reason);
    CPPUNIT_TEST_SUITE_END();

public:
    void waiting_calls_get_one_load() {
        planner->on_demand(waiting_for("x"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(orders.front().kind == order_kind::load);
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
    }

    void adapter_is_ready_when_the_repeated_order_holds() {
        load("x");
        CPPUNIT_ASSERT(last_state("x") == residency::ready);
    }

    void full_engine_drops_the_adapter_that_nothing_uses() {
        load("x");
        load("y");
        load("z");
        now += milliseconds{2'000};
        planner->on_used({"base", "x"}, now);
        planner->on_used({"base", "z"}, now);
        planner->on_demand(waiting_for("w"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT(orders.at(0).kind == order_kind::unload);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), orders.at(0).model.adapter);
        CPPUNIT_ASSERT(last_state("y") == residency::absent);
    }

    /// Guards against the eviction of an adapter that serves a call.
    void engine_whose_adapters_are_all_in_use_drops_none() {
        load("x");
        load("y");
        load("z");
        for (const auto* name : {"x", "y", "z"}) {
            planner->on_used({"base", name}, now);
        }
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
    }

    /// Guards against places that idle adapters keep while calls for others give up: nodes report
    /// use each 200 ms, so 300 ms without a report show that no call uses one.
    void adapter_without_use_in_a_whole_report_period_makes_room() {
        load("x");
        load("y");
        load("z");
        for (const auto* name : {"x", "y", "z"}) {
            planner->on_used({"base", name}, now);
        }
        now += milliseconds{250};
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
        now += milliseconds{50};
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::unload);
    }

    /// Guards against adapters that move from engine to engine: half of the loads of a day with
    /// shifts of demand fetched from the store what another engine would have loaded in a tenth of
    /// the time a few milliseconds later.
    void busy_engine_that_had_the_adapter_is_waited_for_a_moment() {
        planner->on_adapter_resident("a", {"base", "x"});
        planner->on_demand(waiting_for("y"), now);
        planner->plan(now); // The order for y is under way to engine a.
        auto other = engine("b");
        other.address = "10.0.0.2:80";
        planner->update(other);
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
        now += milliseconds{100};
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), planner->plan(now).at(0).endpoint);
    }

    void new_holder_knows_which_engine_had_an_adapter() {
        for (const auto* name : {"b", "c", "d", "e"}) {
            planner->update(engine(name));
        }
        planner->on_adapter_resident("d", {"base", "x"});
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), planner->plan(now).at(0).endpoint);
    }

    /// Replays forty rare adapters on three places, each asked for once in two seconds by a call
    /// that waits for half a second. Engines that are ordered to hold more than their places crash,
    /// and by order of name the first adapters were loaded again and again while the others
    /// starved.
    void burst_of_rare_adapters_never_exceeds_the_places() {
        std::set<std::string> held;
        std::set<std::string> served;
        for (int step = 0; step < 800; ++step) {
            now += milliseconds{50};
            for (int rare = 0; rare < 40; ++rare) {
                if ((step + rare) % 40 < 10) {
                    planner->on_demand(waiting_for("rare" + std::to_string(rare)), now);
                }
            }
            for (const auto& order : planner->plan(now)) {
                if (order.kind == order_kind::unload) {
                    held.erase(order.model.adapter);
                    planner->on_outcome(order, order_outcome::in_effect, now);
                    continue;
                }
                held.insert(order.model.adapter);
                planner->on_outcome(
                    order, order.check ? order_outcome::in_effect : order_outcome::accepted, now);
                if (order.check) {
                    served.insert(order.model.adapter);
                }
            }
            CPPUNIT_ASSERT(held.size() <= 3);
        }
        // At most 1 + 10 in 100 may starve.
        CPPUNIT_ASSERT(served.size() >= 35);
    }

    void engine_that_restarts_empty_loads_its_model_first() {
        load("x");
        auto again = engine("a");
        again.started_ms = 2;
        again.models.clear();
        planner->update(again);
        planner->on_demand(waiting_for("x"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT_EQUAL(model_name({"base", ""}).model, orders.front().model.model);
        CPPUNIT_ASSERT(orders.front().model.adapter.empty());
    }

    /// Guards against the loss of all later orders: a report is some hundred milliseconds old, and
    /// a planner that took its count of orders was refused from then on.
    void one_refused_order_does_not_bring_a_stale_report() {
        planner->on_demand(waiting_for("x"), now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::conflict, now);
        now += milliseconds{60};
        planner->on_demand(waiting_for("x"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT(orders.at(0).kind == order_kind::load);
    }

    /// Guards against nodes that no longer use an adapter which the engine still holds.
    void adapter_whose_unload_is_refused_stays_ready() {
        load("x");
        load("y");
        load("z");
        now += milliseconds{2'000};
        planner->on_demand(waiting_for("w"), now);
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT(order.kind == order_kind::unload);
        CPPUNIT_ASSERT(last_state(order.model.adapter) == residency::absent);
        planner->on_outcome(order, order_outcome::conflict, now);
        CPPUNIT_ASSERT(last_state(order.model.adapter) == residency::ready);
    }

    void lasting_conflict_asks_for_a_report() {
        bool asked = false;
        for (int step = 0; step < 40 && !asked; ++step) {
            now += milliseconds{50};
            planner->on_demand(waiting_for("x"), now);
            for (const auto& order : planner->plan(now)) {
                asked = asked || order.kind == order_kind::report;
                planner->on_outcome(order, order_outcome::conflict, now);
            }
        }
        CPPUNIT_ASSERT(asked);
    }

    /// Such an order may be carried out seconds later.
    /// Guards against a new holder whose first orders an engine refuses: records are not renewed
    /// when adapters change, so this one still shows the engine as it began.
    void new_holder_asks_for_a_report_before_its_first_order() {
        planner->on_demand(waiting_for("x"), now);
        planner->on_lease_acquired();
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT(order.kind == order_kind::report);
        engine_report report;
        report.started_ms = 1;
        report.orders_accepted = 12;
        report.models = {{"base", 1, {{"y", 1}}}};
        planner->on_report("a", report, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, planner->plan(now).at(0).orders_accepted);
    }

    void new_version_replaces_the_busy_adapter_and_drops_the_idle_one() {
        load("x");
        load("y");
        now += std::chrono::seconds{20};
        planner->on_used({"base", "x"}, now);
        planner->require_version({"base", "x"}, 2);
        planner->require_version({"base", "y"}, 2);
        std::set<std::string> seen;
        for (int step = 0; step < 2; ++step) {
            const auto order = planner->plan(now).at(0);
            seen.insert((order.kind == order_kind::load ? "load " : "unload ") +
                        order.model.adapter);
            planner->on_outcome(order, order_outcome::in_effect, now);
        }
        CPPUNIT_ASSERT((seen == std::set<std::string>{"load x", "unload y"}));
    }

    void few_diverted_calls_bring_no_copy() {
        planner->on_demand({{"base", "x"}, "north", 0, 2, 0}, now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
    }

    void many_diverted_calls_bring_a_copy() {
        for (int calls = 0; calls < 5; ++calls) {
            now += milliseconds{100};
            planner->on_demand({{"base", "x"}, "north", 0, 2, 0}, now);
        }
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::load);
    }

    /// Guards against loads in vain: an adapter that came too late for its calls was dropped a few
    /// milliseconds before they were back, and they were refused again.
    void adapter_stays_until_the_calls_that_were_refused_for_it_are_back() {
        load("x");
        load("y");
        load("z");
        planner->on_used({"base", "y"}, now);
        planner->on_used({"base", "z"}, now);
        planner->on_demand(refused_for("x", milliseconds{400}), now);
        now += milliseconds{400};
        planner->on_used({"base", "y"}, now);
        planner->on_used({"base", "z"}, now);
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());

        now += milliseconds{300};
        planner->on_used({"base", "y"}, now);
        planner->on_used({"base", "z"}, now);
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), planner->plan(now).at(0).model.adapter);
    }

    void demand_that_no_order_met_is_told_with_its_reason() {
        load("x");
        load("y");
        load("z");
        for (const auto* name : {"x", "y", "z"}) {
            planner->on_used({"base", name}, now);
        }
        planner->on_demand(waiting_for("w"), now);
        planner->plan(now);
        now += milliseconds{200};
        planner->plan(now);
        const auto unmet = planner->take_unmet();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unmet.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w"), unmet.front().model.adapter);
        CPPUNIT_ASSERT(unmet.front().reason == load_blocker::adapters_in_use);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_planner_test);

} // namespace
