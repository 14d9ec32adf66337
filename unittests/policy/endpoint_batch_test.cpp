#include "scheduler_driver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::policy;
using namespace dragonflystair::policy::testing;
using ids = std::vector<std::string>;

/// Order of dispatch and shares of the batch.
class endpoint_batch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_batch_test);
    CPPUNIT_TEST(short_work_with_resident_adapter_starts_at_once);
    CPPUNIT_TEST(earlier_deadline_starts_first);
    CPPUNIT_TEST(full_batch_starts_nothing);
    CPPUNIT_TEST(long_work_beyond_its_share_waits);
    CPPUNIT_TEST(long_share_of_small_batch_is_one);
    CPPUNIT_TEST(long_work_does_not_start_while_short_waits);
    CPPUNIT_TEST(overdue_long_work_starts_before_short);
    CPPUNIT_TEST(second_overdue_long_work_waits_one_more_period);
    CPPUNIT_TEST(request_of_long_expected_answer_uses_long_share);
    CPPUNIT_TEST(learned_length_moves_adapter_to_long_share);
    CPPUNIT_TEST(isolated_request_waits_until_nothing_runs);
    CPPUNIT_TEST(isolated_request_runs_without_other_requests);
    CPPUNIT_TEST(two_isolated_requests_run_one_after_the_other);
    CPPUNIT_TEST(isolated_request_behind_long_work_does_not_block_short);
    CPPUNIT_TEST(isolated_request_waits_for_former_owners_work);
    CPPUNIT_TEST(cancelled_request_in_queue_is_dropped);
    CPPUNIT_TEST(cancelled_request_in_batch_keeps_its_pin);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { driver_.report({"a", "b"}); }

    void short_work_with_resident_adapter_starts_at_once() {
        driver_.submit(make_request("1", "a"));
        const auto starts = only<dispatch_action>(driver_.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        CPPUNIT_ASSERT(starts[0].priority);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver_.scheduler.slots().pins("a"));
    }

    void earlier_deadline_starts_first() {
        driver_.submit(make_request("late", "a", work_class::short_work, at(milliseconds{9'000})));
        driver_.submit(make_request("soon", "b", work_class::short_work, at(milliseconds{5'000})));
        CPPUNIT_ASSERT(ids({"soon", "late"}) == driver_.dispatched());
    }

    void full_batch_starts_nothing() {
        submit_many("s", 7, work_class::short_work);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, driver_.dispatched().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver_.scheduler.queued());
    }

    void long_work_beyond_its_share_waits() {
        submit_many("l", 5, work_class::long_work);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver_.dispatched().size());
    }

    void long_share_of_small_batch_is_one() {
        scheduler_driver small(scheduler_limits{.batch_limit = 2});
        small.report({"a"});
        small.submit(make_request("1", "a", work_class::long_work));
        small.submit(make_request("2", "a", work_class::long_work));
        CPPUNIT_ASSERT(ids({"1"}) == small.dispatched());
    }

    /// Guards against short requests waiting for long ones.
    void long_work_does_not_start_while_short_waits() {
        submit_many("s", 8, work_class::short_work);
        driver_.submit(make_request("l", "a", work_class::long_work, at(milliseconds{20'000})));
        driver_.poll();
        driver_.finish("s0");
        CPPUNIT_ASSERT(ids({"s6"}) == driver_.dispatched());
    }

    /// Guards against starvation of long requests under a constant load of short ones.
    void overdue_long_work_starts_before_short() {
        submit_many("s", 8, work_class::short_work);
        driver_.submit(make_request("l", "a", work_class::long_work));
        driver_.poll();
        driver_.now = scheduler_limits{}.long_wait_limit;
        driver_.finish("s0");
        CPPUNIT_ASSERT(ids({"l"}) == driver_.dispatched());
    }

    void second_overdue_long_work_waits_one_more_period() {
        submit_many("s", 9, work_class::short_work);
        driver_.submit(make_request("l", "a", work_class::long_work));
        driver_.submit(make_request("m", "a", work_class::long_work));
        driver_.poll();
        driver_.now = scheduler_limits{}.long_wait_limit;
        driver_.finish("s0");
        driver_.finish("s1");
        CPPUNIT_ASSERT(ids({"l", "s6"}) == driver_.dispatched());
        driver_.now *= 2;
        driver_.finish("s2");
        CPPUNIT_ASSERT(ids({"m"}) == driver_.dispatched());
    }

    void request_of_long_expected_answer_uses_long_share() {
        for (const auto* id : {"1", "2", "3"}) {
            auto req = make_request(id, "a");
            req.expected_tokens = 5'000;
            driver_.submit(std::move(req));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver_.dispatched().size());
    }

    void learned_length_moves_adapter_to_long_share() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.scheduler.on_finished("1", finish_kind::done, 5'000, at(driver_.now));
        submit_many("s", 4, work_class::short_work);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver_.dispatched().size());
    }

    void isolated_request_waits_until_nothing_runs() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        driver_.submit(make_isolated("suspect", "b"));
        CPPUNIT_ASSERT(driver_.dispatched().empty());
        driver_.submit(make_request("2", "a"));
        CPPUNIT_ASSERT(driver_.dispatched().empty());
        driver_.finish("1");
        CPPUNIT_ASSERT(ids({"suspect"}) == driver_.dispatched());
    }

    /// Guards against further suspects when an isolated request crashes the endpoint.
    void isolated_request_runs_without_other_requests() {
        driver_.submit(make_isolated("suspect", "b"));
        driver_.poll();
        driver_.submit(make_request("1", "a"));
        CPPUNIT_ASSERT(driver_.dispatched().empty());
        driver_.finish("suspect");
        CPPUNIT_ASSERT(ids({"1"}) == driver_.dispatched());
    }

    void two_isolated_requests_run_one_after_the_other() {
        driver_.submit(make_isolated("1", "a"));
        driver_.submit(make_isolated("2", "b"));
        CPPUNIT_ASSERT(ids({"1"}) == driver_.dispatched());
        CPPUNIT_ASSERT(driver_.dispatched().empty());
        driver_.finish("1");
        CPPUNIT_ASSERT(ids({"2"}) == driver_.dispatched());
    }

    void isolated_request_behind_long_work_does_not_block_short() {
        driver_.submit(make_request("l", "a", work_class::long_work));
        driver_.poll();
        driver_.submit(make_isolated("suspect", "b"));
        driver_.submit(make_request("s", "a"));
        driver_.submit(make_request("m", "a", work_class::long_work));
        CPPUNIT_ASSERT(ids({"s"}) == driver_.dispatched());
    }

    void isolated_request_waits_for_former_owners_work() {
        const engine_report report{"run-1", {"a"}, {"a"}, 0, 0};
        driver_.scheduler.on_takeover(report, {}, at(driver_.now));
        driver_.submit(make_isolated("suspect", "a"));
        CPPUNIT_ASSERT(driver_.dispatched().empty());
        driver_.now = milliseconds{2'100};
        driver_.report({"a"});
        CPPUNIT_ASSERT(ids({"suspect"}) == driver_.dispatched());
    }

    void cancelled_request_in_queue_is_dropped() {
        driver_.submit(make_request("1", "a"));
        CPPUNIT_ASSERT(!driver_.scheduler.cancel("1", at(driver_.now)));
        CPPUNIT_ASSERT(driver_.poll().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver_.scheduler.queued());
    }

    void cancelled_request_in_batch_keeps_its_pin() {
        driver_.submit(make_request("1", "a"));
        driver_.poll();
        CPPUNIT_ASSERT(driver_.scheduler.cancel("1", at(driver_.now)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, driver_.scheduler.slots().pins("a"));
        driver_.finish("1", finish_kind::cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver_.scheduler.slots().pins("a"));
    }

private:
    void submit_many(const std::string& prefix, int count, work_class work) {
        for (int i = 0; i < count; ++i) {
            driver_.submit(make_request(prefix + std::to_string(i), "a", work));
        }
    }

    scheduler_driver driver_{scheduler_limits{.slots = 2, .batch_limit = 6}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_batch_test);

} // namespace
