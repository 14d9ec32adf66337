#include "adapter_planner_fixture.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::seconds;

/// Orders to an engine that restarts under its id before their outcome is known.
class restarted_engine_test : public adapter_planner_fixture {
    CPPUNIT_TEST_SUITE(restarted_engine_test);
    CPPUNIT_TEST(report_of_former_run_does_not_change_the_present_one);
    CPPUNIT_TEST(report_of_unlisted_run_is_requested_again);
    CPPUNIT_TEST(order_in_effect_on_former_run_shows_no_adapter_of_the_present_one);
    CPPUNIT_TEST(failed_order_to_former_run_ends_no_order_to_the_present_one);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against calls to an engine for an adapter that it lost in its restart.
    void report_of_former_run_does_not_change_the_present_one() {
        planner->on_lease_acquired();
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::report);
        planner->update(second_run());
        planner->take_changes();
        planner->on_report("a", report_of(1), now);
        CPPUNIT_ASSERT(last_state("known") != residency::ready);
        now += seconds{1};
        planner->on_demand(waiting_for("known"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(orders.front().kind == order_kind::load);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders.front().orders_accepted);
    }

    /// The engine has restarted, and the list does not show it yet.
    void report_of_unlisted_run_is_requested_again() {
        planner->on_lease_acquired();
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::report);
        planner->on_report("a", report_of(2), now);
        now += seconds{1};
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::report);
    }

    /// Guards against calls to an engine for an adapter that only its former run had.
    void order_in_effect_on_former_run_shows_no_adapter_of_the_present_one() {
        const auto former = order_for("x");
        planner->update(second_run());
        planner->take_changes();
        planner->on_outcome(former, order_outcome::in_effect, now);
        CPPUNIT_ASSERT(last_state("x") == residency::absent);
    }

    /// Guards against two orders in flight to one engine.
    void failed_order_to_former_run_ends_no_order_to_the_present_one() {
        const auto former = order_for("x");
        planner->update(second_run());
        const auto present = order_for("x");
        CPPUNIT_ASSERT_EQUAL(former.orders_accepted, present.orders_accepted);
        planner->on_outcome(former, order_outcome::failed, now);
        now += seconds{1};
        planner->on_demand(waiting_for("x"), now);
        CPPUNIT_ASSERT(planner->plan(now).empty());
    }

private:
    static endpoint_record second_run() {
        auto record = engine("a");
        record.started_ms = 2;
        return record;
    }

    static engine_report report_of(std::uint64_t started_ms) {
        engine_report report;
        report.started_ms = started_ms;
        report.orders_accepted = 7;
        report.models = {{"base", 1, {{"known", 1}}}};
        return report;
    }

    planned_order order_for(const std::string& adapter) {
        planner->on_demand(waiting_for(adapter), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        return orders.front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_engine_test);

} // namespace
