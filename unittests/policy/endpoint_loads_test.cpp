#include "scheduler_driver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::policy;
using namespace dragonflystair::policy::testing;

/// Loads, evictions, engine reports and takeover.
class endpoint_loads_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_loads_test);
    CPPUNIT_TEST(cold_adapter_requests_one_permit_for_all_queued_requests);
    CPPUNIT_TEST(load_without_permit_is_not_ordered);
    CPPUNIT_TEST(granted_permit_is_used_once);
    CPPUNIT_TEST(permit_after_last_request_cancelled_is_released);
    CPPUNIT_TEST(permit_granted_after_its_withdrawal_is_released);
    CPPUNIT_TEST(permit_is_renewed_each_second);
    CPPUNIT_TEST(orders_while_not_allowed_are_not_sent);
    CPPUNIT_TEST(eviction_chooses_least_requested_unpinned_adapter);
    CPPUNIT_TEST(eviction_with_all_pinned_drains_one_adapter);
    CPPUNIT_TEST(lost_unload_answer_blocks_the_load_until_report);
    CPPUNIT_TEST(failed_load_is_retried_with_exponential_backoff);
    CPPUNIT_TEST(failed_loads_refuse_queued_and_new_requests);
    CPPUNIT_TEST(store_without_permits_refuses_queued_requests_in_time);
    CPPUNIT_TEST(store_that_grants_slowly_refuses_no_new_request);
    CPPUNIT_TEST(load_answer_from_before_restart_is_ignored);
    CPPUNIT_TEST(load_failure_from_before_restart_starts_no_backoff);
    CPPUNIT_TEST(load_waits_while_unload_of_former_run_is_unanswered);
    CPPUNIT_TEST(restart_returns_running_and_clears_slots);
    CPPUNIT_TEST(old_report_after_load_changes_nothing);
    CPPUNIT_TEST(takeover_evicts_nothing_before_newer_report);
    CPPUNIT_TEST(unresolved_intent_refuses_until_allowed);
    CPPUNIT_TEST(prefetch_loads_without_queued_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { driver_.report({}); }

    /// Guards against a second load of the same adapter.
    void cold_adapter_requests_one_permit_for_all_queued_requests() {
        driver_.submit(make_request("1", "a"));
        driver_.submit(make_request("2", "a"));
        const auto permit_requests = only<request_permit_action>(driver_.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permit_requests.size());
        CPPUNIT_ASSERT_EQUAL(2.0, permit_requests[0].urgency);
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

    void permit_after_last_request_cancelled_is_released() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.scheduler.cancel("1", at(driver_.now));
        driver_.permit("a");
        const auto actions = driver_.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(actions).size());
        CPPUNIT_ASSERT(only<load_action>(actions).empty());
    }

    /// Guards against a permit that stays outstanding until it expires although nothing uses it.
    void permit_granted_after_its_withdrawal_is_released() {
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

    /// Guards against orders by an owner whose lease has lapsed.
    void orders_while_not_allowed_are_not_sent() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.scheduler.allow_orders(false);
        driver_.permit("a");
        const auto actions = driver_.poll();
        CPPUNIT_ASSERT(only<load_action>(actions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(actions).size());
        driver_.now = scheduler_limits{}.permit_timeout;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<refuse_action>(driver_.poll()).size());
        CPPUNIT_ASSERT(driver_.submit(make_request("2", "a")).has_value());
    }

    void eviction_chooses_least_requested_unpinned_adapter() {
        make_resident({"a", "b"});
        run("1", "a");
        run("2", "a");
        run("3", "b");
        const auto actions = submit_with_permit("c");
        const auto unloads = only<unload_action>(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unloads.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), unloads[0].adapter);
        CPPUNIT_ASSERT(only<load_action>(actions).empty());
        driver_.scheduler.on_unload_done("b", true, at(driver_.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
    }

    /// Guards against starvation of an adapter that is not resident while traffic pins all others.
    void eviction_with_all_pinned_drains_one_adapter() {
        make_resident({"a", "b"});
        start("1", "a");
        start("2", "a");
        start("3", "b");
        CPPUNIT_ASSERT(only<unload_action>(submit_with_permit("c")).empty());
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
        submit_with_permit("c");
        driver_.scheduler.on_unload_done("b", std::nullopt, at(driver_.now));
        CPPUNIT_ASSERT(only<load_action>(driver_.poll()).empty());
        driver_.now = milliseconds{100};
        driver_.report({"a"});
        CPPUNIT_ASSERT(only<load_action>(driver_.poll()).empty());
        driver_.now = milliseconds{2'001};
        driver_.report({"a"});
        // The first permit was not used in time and is returned before a new one is requested.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<release_permit_action>(driver_.poll()).size());
        driver_.now += scheduler_limits{}.load_retry_delay;
        driver_.poll();
        driver_.permit("c");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
    }

    void failed_load_is_retried_with_exponential_backoff() {
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

    /// Guards against requests that stay queued while the store is down.
    void failed_loads_refuse_queued_and_new_requests() {
        driver_.submit(make_request("1", "a"));
        for (int i = 0; i < 3; ++i) {
            fail_load("a");
            const auto refused = only<refuse_action>(driver_.poll());
            CPPUNIT_ASSERT_EQUAL(std::size_t(i == 2 ? 1 : 0), refused.size());
            driver_.now += milliseconds{i == 2 ? 0 : 2'000};
        }
        const auto refused = driver_.submit(make_request("2", "a"));
        CPPUNIT_ASSERT(refusal_reason::load_failed == refused->reason);
        CPPUNIT_ASSERT(milliseconds{2'000} == refused->retry_after);
    }

    void store_without_permits_refuses_queued_requests_in_time() {
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

    /// Guards against refusals right after an outage of the store, when permits are granted again
    /// but not yet for the adapter that has waited the longest.
    void store_that_grants_slowly_refuses_no_new_request() {
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
        submit_with_permit("a");
        driver_.report({}, {}, "run-2");
        CPPUNIT_ASSERT(driver_.poll().empty());
        driver_.loaded("a");
        CPPUNIT_ASSERT(driver_.scheduler.slots().state("a") == slot_state::absent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<request_permit_action>(driver_.poll()).size());
    }

    void load_failure_from_before_restart_starts_no_backoff() {
        submit_with_permit("a");
        driver_.report({}, {}, "run-2");
        driver_.loaded("a", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<request_permit_action>(driver_.poll()).size());
    }

    /// Guards against an unload order that reaches the engine after a load of the same adapter.
    void load_waits_while_unload_of_former_run_is_unanswered() {
        make_resident({"a", "b"});
        start("1", "a");
        submit_with_permit("c");
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

    /// Guards against eviction of an adapter that streams of a former owner still use.
    void takeover_evicts_nothing_before_newer_report() {
        const engine_report report{"run-1", {"a", "b"}, {"a"}, 0, 0};
        driver_.scheduler.on_takeover(report, {}, at(driver_.now));
        driver_.now = milliseconds{1'900};
        driver_.report({"a", "b"}, {"a"});
        CPPUNIT_ASSERT(only<request_permit_action>(submit_with_permit("c")).empty());
        driver_.now = milliseconds{2'100};
        driver_.report({"a", "b"}, {"a"});
        driver_.poll();
        driver_.permit("c");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), only<unload_action>(driver_.poll()).at(0).adapter);
    }

    void unresolved_intent_refuses_until_allowed() {
        const engine_report report{"run-1", {"a"}, {}, 0, 0};
        driver_.scheduler.on_takeover(report, std::vector<std::string>{"a"}, at(driver_.now));
        CPPUNIT_ASSERT(driver_.submit(make_request("1", "a")).has_value());
        CPPUNIT_ASSERT(driver_.scheduler.load(at(driver_.now)).resident.empty());
        driver_.scheduler.allow_adapter("a");
        CPPUNIT_ASSERT(!driver_.submit(make_request("2", "a")).has_value());
    }

    void prefetch_loads_without_queued_requests() {
        driver_.scheduler.prefetch("a", 2, at(driver_.now));
        CPPUNIT_ASSERT_EQUAL(2.0, only<request_permit_action>(driver_.poll()).at(0).urgency);
        driver_.permit("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, only<load_action>(driver_.poll()).size());
    }

private:
    /// Submits a request for an adapter that is not resident, grants the permit and returns the
    /// actions that follow.
    std::vector<scheduler_action> submit_with_permit(const std::string& adapter) {
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
