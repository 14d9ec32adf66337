#include "adapter_planner_fixture.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

/// Placement of adapters on engines, and the orders that establish it.
class adapter_planner_test : public adapter_planner_fixture {
    CPPUNIT_TEST_SUITE(adapter_planner_test);
    CPPUNIT_TEST(waiting_calls_get_one_load);
    CPPUNIT_TEST(adapter_is_ready_when_the_check_finds_the_load_complete);
    CPPUNIT_TEST(full_engine_evicts_the_idle_adapter);
    CPPUNIT_TEST(engine_with_all_adapters_in_use_evicts_none);
    CPPUNIT_TEST(adapter_unused_for_a_report_period_is_evicted);
    CPPUNIT_TEST(adapter_waits_briefly_for_the_busy_engine_that_had_it);
    CPPUNIT_TEST(new_lease_holder_loads_the_adapter_on_the_engine_that_had_it);
    CPPUNIT_TEST(burst_of_rare_adapters_never_exceeds_the_slots);
    CPPUNIT_TEST(engine_that_restarts_empty_loads_its_model_first);
    CPPUNIT_TEST(single_conflict_requests_no_report);
    CPPUNIT_TEST(adapter_whose_unload_is_rejected_stays_ready);
    CPPUNIT_TEST(repeated_conflicts_request_a_report);
    CPPUNIT_TEST(new_lease_holder_requests_a_report_before_its_first_order);
    CPPUNIT_TEST(new_version_replaces_the_busy_adapter_and_unloads_the_idle_one);
    CPPUNIT_TEST(few_diverted_calls_order_no_copy);
    CPPUNIT_TEST(many_diverted_calls_order_a_copy);
    CPPUNIT_TEST(adapter_is_kept_until_the_calls_rejected_for_it_are_retried);
    CPPUNIT_TEST(unmet_demand_is_reported_with_its_reason);
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

    void adapter_is_ready_when_the_check_finds_the_load_complete() {
        load("x");
        CPPUNIT_ASSERT(last_state("x") == residency::ready);
    }

    void full_engine_evicts_the_idle_adapter() {
        load_three();
        now += milliseconds{2'000};
        planner->on_used({"base", "x"}, now);
        planner->on_used({"base", "z"}, now);
        planner->on_demand(waiting_for("w"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT(orders.at(0).kind == order_kind::unload);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), orders.at(0).model.adapter);
        CPPUNIT_ASSERT(last_state("y") == residency::absent);
    }

    /// Guards against the eviction of an adapter that is used by a running call.
    void engine_with_all_adapters_in_use_evicts_none() {
        load_three_and_use_them();
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
    }

    /// Guards against idle adapters that keep their slots while calls for others time out: nodes
    /// report use every 200 ms, so 300 ms without a report show that no call uses the adapter.
    void adapter_unused_for_a_report_period_is_evicted() {
        load_three_and_use_them();
        now += milliseconds{250};
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
        now += milliseconds{50};
        planner->on_demand(waiting_for("w"), now);
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::unload);
    }

    /// Guards against adapters that move between engines: half of the loads of a day with shifting
    /// demand were fetched from the store although another engine would have loaded the adapter in
    /// a tenth of the time a few milliseconds later.
    void adapter_waits_briefly_for_the_busy_engine_that_had_it() {
        planner->on_adapter_resident("a", {"base", "x"});
        planner->on_demand(waiting_for("y"), now);
        planner->plan(now); // The order for y is in flight to engine a.
        auto other = engine("b");
        other.address = "10.0.0.2:80";
        planner->update(other);
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
        now += milliseconds{100};
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), planner->plan(now).at(0).endpoint);
    }

    void new_lease_holder_loads_the_adapter_on_the_engine_that_had_it() {
        for (const auto* name : {"b", "c", "d", "e"}) {
            planner->update(engine(name));
        }
        planner->on_adapter_resident("d", {"base", "x"});
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), planner->plan(now).at(0).endpoint);
    }

    /// Replays forty rare adapters on three slots, each requested once in two seconds by a call
    /// that waits for half a second. Guards against orders beyond the slots, which crash an engine,
    /// and against starvation: in the order of names, the first adapters were loaded repeatedly
    /// while the others were never loaded.
    void burst_of_rare_adapters_never_exceeds_the_slots() {
        std::set<std::string> resident;
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
                    resident.erase(order.model.adapter);
                    planner->on_outcome(order, order_outcome::in_effect, now);
                    continue;
                }
                resident.insert(order.model.adapter);
                planner->on_outcome(
                    order, order.check ? order_outcome::in_effect : order_outcome::accepted, now);
                if (order.check) {
                    served.insert(order.model.adapter);
                }
            }
            CPPUNIT_ASSERT(resident.size() <= 3);
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

    /// Guards against the rejection of all later orders: a report is some hundred milliseconds old,
    /// and a planner that took over its order count sent a stale count from then on.
    void single_conflict_requests_no_report() {
        planner->on_demand(waiting_for("x"), now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::conflict, now);
        now += milliseconds{60};
        planner->on_demand(waiting_for("x"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT(orders.at(0).kind == order_kind::load);
    }

    /// Guards against nodes that no longer use an adapter that is still resident on the engine.
    void adapter_whose_unload_is_rejected_stays_ready() {
        load_three();
        now += milliseconds{2'000};
        planner->on_demand(waiting_for("w"), now);
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT(order.kind == order_kind::unload);
        CPPUNIT_ASSERT(last_state(order.model.adapter) == residency::absent);
        planner->on_outcome(order, order_outcome::conflict, now);
        CPPUNIT_ASSERT(last_state(order.model.adapter) == residency::ready);
    }

    void repeated_conflicts_request_a_report() {
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

    /// Guards against a new lease holder whose first orders are rejected by an engine: records are
    /// not updated when adapters change, so this one still shows the engine's initial state.
    void new_lease_holder_requests_a_report_before_its_first_order() {
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

    void new_version_replaces_the_busy_adapter_and_unloads_the_idle_one() {
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

    void few_diverted_calls_order_no_copy() {
        planner->on_demand({{"base", "x"}, "north", 0, 2, 0}, now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
    }

    void many_diverted_calls_order_a_copy() {
        for (int calls = 0; calls < 5; ++calls) {
            now += milliseconds{100};
            planner->on_demand({{"base", "x"}, "north", 0, 2, 0}, now);
        }
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::load);
    }

    /// Guards against wasted loads: an adapter that was loaded too late for its calls was evicted a
    /// few milliseconds before their retries, which were rejected again.
    void adapter_is_kept_until_the_calls_rejected_for_it_are_retried() {
        load_three();
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

    void unmet_demand_is_reported_with_its_reason() {
        load_three_and_use_them();
        planner->on_demand(waiting_for("w"), now);
        planner->plan(now);
        now += milliseconds{200};
        planner->plan(now);
        const auto unmet = planner->take_unmet();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unmet.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w"), unmet.front().model.adapter);
        CPPUNIT_ASSERT(unmet.front().reason == load_blocker::adapters_in_use);
    }

private:
    /// Occupies all adapter slots with x, y and z.
    void load_three() {
        for (const auto* name : {"x", "y", "z"}) {
            load(name);
        }
    }

    void load_three_and_use_them() {
        load_three();
        for (const auto* name : {"x", "y", "z"}) {
            planner->on_used({"base", name}, now);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_planner_test);

} // namespace
