#include "scheduler_driver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::policy;
using namespace dragonflystair::policy::testing;

/// Loads, evictions, reports and takeover.
class endpoint_loads_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_loads_test);
    CPPUNIT_TEST(cold_adapter_asks_for_one_permit_for_all_waiters);
    CPPUNIT_TEST(load_without_permit_is_not_ordered);
    CPPUNIT_TEST(granted_permit_is_used_once);
    CPPUNIT_TEST(permit_after_last_waiter_left_is_dropped);
    CPPUNIT_TEST(permit_that_comes_after_its_withdrawal_is_dropped);
    CPPUNIT_TEST(permit_is_renewed_each_second);
    CPPUNIT_TEST(orders_while_forbidden_are_not_given);
    CPPUNIT_TEST(eviction_takes_least_wanted_unpinned_adapter);
    CPPUNIT_TEST(eviction_with_all_pinned_drains_one_adapter);
    CPPUNIT_TEST(lost_unload_answer_blocks_the_load_until_report);
    CPPUNIT_TEST(failed_load_is_retried_with_doubling_waits);
    CPPUNIT_TEST(failed_loads_refuse_waiters_and_newcomers);
    CPPUNIT_TEST(store_without_permits_refuses_waiters_in_time);
    CPPUNIT_TEST(store_that_grants_slowly_refuses_no_newcomer);
    CPPUNIT_TEST(load_answer_from_before_restart_is_ignored);
    CPPUNIT_TEST(load_failure_from_before_restart_starts_no_retry_wait);
    CPPUNIT_TEST(load_while_unload_of_former_run_is_unanswered_waits);
    CPPUNIT_TEST(restart_returns_running_and_clears_slots);
    CPPUNIT_TEST(old_report_after_load_changes_nothing);
    CPPUNIT_TEST(takeover_evicts_nothing_before_newer_report);
    CPPUNIT_TEST(unresolved_intent_refuses_until_allowed);
    CPPUNIT_TEST(prefetch_loads_without_waiters);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { driver_.report({}); }

    /// Guards against a second load of the same adapter.
    void cold_adapter_asks_for_one_permit_for_all_waiters() {
        driver_.submit(make_request("1", "a"));
        driver_.submit(make_request("2", "a"));
        const auto wants = only<request_permit_action>(driver_.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wants.size());
        CPPUNIT_ASSERT_EQUAL(2.0, wants[0].urgency);
        CPPUNIT_ASSERT(driver_.poll().empty());
    }

    void load_without_permit_is_not_ordered() {
        driver_.submit(make_request("1", "a"));
        CPPUNIT_ASSERT(only<load_action>(driver_.poll()).empty());
        driver_.scheduler.on_permit("a", false, at(driver_.now));
        CPPUNIT_ASSERT(only<load_action>(driver_.poll()).empty());
    }

    void granted_permit_is_used_once() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.permit("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
        CPPUNIT_ASSERT(driver_.poll().empty());
        driver_.loaded("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver_.dispatched().size());
    }

    void permit_after_last_waiter_left_is_dropped() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.scheduler.cancel("1", at(driver_.now));
        driver_.permit("a");
        const auto all = driver_.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(all).size());
        CPPUNIT_ASSERT(only<load_action>(all).empty());
    }

    /// Guards against a permit that is held until it ends although nothing uses it.
    void permit_that_comes_after_its_withdrawal_is_dropped() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.scheduler.cancel("1", at(driver_.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(driver_.poll()).size());
        driver_.permit("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(driver_.poll()).size());
    }

    void permit_is_renewed_each_second() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.now = milliseconds{1'000};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<request_permit_action>(driver_.poll()).size());
    }

    /// Guards against orders by a holder whose lease has lapsed.
    void orders_while_forbidden_are_not_given() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.scheduler.allow_orders(false);
        driver_.permit("a");
        const auto all = driver_.poll();
        CPPUNIT_ASSERT(only<load_action>(all).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(all).size());
        driver_.now = scheduler_limits{}.permit_timeout;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<refuse_action>(driver_.poll()).size());
        CPPUNIT_ASSERT(driver_.submit(make_request("2", "a")).has_value());
    }

    void eviction_takes_least_wanted_unpinned_adapter() {
        make_resident({"a", "b"});
        run("1", "a");
        run("2", "a");
        run("3", "b");
        const auto all = want("c");
        const auto unloads = only<unload_action>(all);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unloads.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), unloads[0].adapter);
        CPPUNIT_ASSERT(only<load_action>(all).empty());
        driver_.scheduler.on_unload_done("b", true, at(driver_.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
    }

    /// Guards against a cold adapter that starves while traffic pins all others.
    void eviction_with_all_pinned_drains_one_adapter() {
        make_resident({"a", "b"});
        start("1", "a");
        start("2", "a");
        start("3", "b");
        CPPUNIT_ASSERT(only<unload_action>(want("c")).empty());
        driver_.submit(make_request("4", "b"));
        CPPUNIT_ASSERT(driver_.dispatched().empty());
        driver_.finish("3");
        driver_.poll();
        driver_.permit("c");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), only<unload_action>(driver_.poll()).at(0).adapter);
    }

    void lost_unload_answer_blocks_the_load_until_report() {
        make_resident({"a", "b"});
        start("1", "a");
        want("c");
        driver_.scheduler.on_unload_done("b", std::nullopt, at(driver_.now));
        CPPUNIT_ASSERT(only<load_action>(driver_.poll()).empty());
        driver_.now = milliseconds{100};
        driver_.report({"a"});
        CPPUNIT_ASSERT(only<load_action>(driver_.poll()).empty());
        driver_.now = milliseconds{2'001};
        driver_.report({"a"});
        // The first permit was not usable in its time and goes back before a new one is wanted.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(driver_.poll()).size());
        driver_.now += scheduler_limits{}.load_retry_delay;
        driver_.poll();
        driver_.permit("c");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
    }

    void failed_load_is_retried_with_doubling_waits() {
        driver_.submit(make_request("1", "a"));
        for (const auto wait : {milliseconds{500}, milliseconds{1'000}}) {
            fail_load("a");
            driver_.now += wait - milliseconds{1};
            CPPUNIT_ASSERT(only<request_permit_action>(driver_.poll()).empty());
            driver_.now += milliseconds{1};
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 only<request_permit_action>(driver_.poll()).size());
        }
    }

    /// Guards against waiters that are held while the store is down.
    void failed_loads_refuse_waiters_and_newcomers() {
        driver_.submit(make_request("1", "a"));
        for (int i = 0; i < 3; ++i) {
            fail_load("a");
            const auto refused = only<refuse_action>(driver_.poll());
            CPPUNIT_ASSERT_EQUAL(std::size_t(i == 2 ? 1 : 0), refused.size());
            driver_.now += milliseconds{i == 2 ? 0 : 2'000};
        }
        const auto why = driver_.submit(make_request("2", "a"));
        CPPUNIT_ASSERT(refusal_reason::load_failed == why->reason);
        CPPUNIT_ASSERT(milliseconds{2'000} == why->retry_after);
    }

    void store_without_permits_refuses_waiters_in_time() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.now = scheduler_limits{}.permit_timeout;
        const auto refused = only<refuse_action>(driver_.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.size());
        CPPUNIT_ASSERT(refusal_reason::store_unavailable == refused[0].cause.reason);
        CPPUNIT_ASSERT(driver_.submit(make_request("2", "b")).has_value());
        driver_.permit("a");
        driver_.poll();
        CPPUNIT_ASSERT(!driver_.submit(make_request("3", "b")).has_value());
    }

    /// Guards against callers who are refused right after an outage of the store: permits come
    /// again, only not yet for the adapter that has waited the longest.
    void store_that_grants_slowly_refuses_no_newcomer() {
        driver_.submit(make_request("1", "a"));
        driver_.submit(make_request("2", "b"));
        driver_.poll();
        driver_.now = scheduler_limits{}.permit_timeout - milliseconds{500};
        driver_.permit("b");
        driver_.poll();
        driver_.now += milliseconds{1'000};
        CPPUNIT_ASSERT(only<refuse_action>(driver_.poll()).empty());
        CPPUNIT_ASSERT(!driver_.submit(make_request("3", "c")).has_value());
        driver_.now += scheduler_limits{}.permit_timeout;
        CPPUNIT_ASSERT(driver_.submit(make_request("4", "c")).has_value());
    }

    void load_answer_from_before_restart_is_ignored() {
        want("a");
        driver_.report({}, {}, "run-2");
        CPPUNIT_ASSERT(driver_.poll().empty());
        driver_.loaded("a");
        CPPUNIT_ASSERT(driver_.scheduler.slots().state("a") == slot_state::absent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<request_permit_action>(driver_.poll()).size());
    }

    void load_failure_from_before_restart_starts_no_retry_wait() {
        want("a");
        driver_.report({}, {}, "run-2");
        driver_.loaded("a", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<request_permit_action>(driver_.poll()).size());
    }

    /// Guards against an unload order that reaches the engine after the load of the same adapter.
    void load_while_unload_of_former_run_is_unanswered_waits() {
        make_resident({"a", "b"});
        start("1", "a");
        want("c");
        driver_.report({}, {}, "run-2");
        driver_.submit(make_request("2", "b"));
        for (const auto& action : only<request_permit_action>(driver_.poll())) {
            CPPUNIT_ASSERT(action.adapter != "b");
        }
        driver_.scheduler.on_unload_done("b", true, at(driver_.now));
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             only<request_permit_action>(driver_.poll()).at(0).adapter);
    }

    void restart_returns_running_and_clears_slots() {
        make_resident({"a"});
        start("1", "a");
        engine_report empty;
        empty.start = "run-2";
        CPPUNIT_ASSERT(std::vector<std::string>{"1"} ==
                       driver_.scheduler.on_report(empty, at(driver_.now)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver_.scheduler.running());
        CPPUNIT_ASSERT(driver_.scheduler.slots().resident().empty());
    }

    void old_report_after_load_changes_nothing() {
        make_resident({"a"});
        driver_.now += milliseconds{500};
        driver_.report({});
        CPPUNIT_ASSERT(driver_.scheduler.slots().state("a") == slot_state::resident);
    }

    /// Guards against eviction under streams that a former owner still serves.
    void takeover_evicts_nothing_before_newer_report() {
        const engine_report seen{"run-1", {"a", "b"}, {"a"}, 0, 0};
        driver_.scheduler.on_takeover(seen, {}, at(driver_.now));
        driver_.now = milliseconds{1'900};
        driver_.report({"a", "b"}, {"a"});
        CPPUNIT_ASSERT(only<request_permit_action>(want("c")).empty());
        driver_.now = milliseconds{2'100};
        driver_.report({"a", "b"}, {"a"});
        driver_.poll();
        driver_.permit("c");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), only<unload_action>(driver_.poll()).at(0).adapter);
    }

    void unresolved_intent_refuses_until_allowed() {
        const engine_report seen{"run-1", {"a"}, {}, 0, 0};
        driver_.scheduler.on_takeover(seen, std::vector<std::string>{"a"}, at(driver_.now));
        CPPUNIT_ASSERT(driver_.submit(make_request("1", "a")).has_value());
        CPPUNIT_ASSERT(driver_.scheduler.load(at(driver_.now)).resident.empty());
        driver_.scheduler.allow_adapter("a");
        CPPUNIT_ASSERT(!driver_.submit(make_request("2", "a")).has_value());
    }

    void prefetch_loads_without_waiters() {
        driver_.scheduler.prefetch("a", 2, at(driver_.now));
        CPPUNIT_ASSERT_EQUAL(2.0, only<request_permit_action>(driver_.poll()).at(0).urgency);
        driver_.permit("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
    }

private:
    /// Submits for a cold adapter, grants the permit and returns what follows.
    std::vector<scheduler_action> want(const std::string& adapter) {
        driver_.submit(make_request("want-" + adapter, adapter));
        driver_.poll();
        driver_.permit(adapter);
        return driver_.poll();
    }

    void make_resident(const std::vector<std::string>& adapters) {
        for (const auto& adapter : adapters) {
            driver_.scheduler.prefetch(adapter, 1, at(driver_.now));
            driver_.poll();
            driver_.permit(adapter);
            driver_.poll();
            driver_.loaded(adapter);
        }
    }

    void fail_load(const std::string& adapter) {
        driver_.poll();
        driver_.permit(adapter);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
        driver_.loaded(adapter, false);
    }

    void start(const std::string& id, const std::string& adapter) {
        driver_.submit(make_request(id, adapter));
        driver_.poll();
    }

    void run(const std::string& id, const std::string& adapter) {
        start(id, adapter);
        driver_.finish(id);
    }

    scheduler_driver driver_{scheduler_limits{.slots = 2, .batch_limit = 6}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_loads_test);

} // namespace
