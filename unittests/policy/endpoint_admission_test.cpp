#include "scheduler_driver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::policy;
using namespace dragonflystair::policy::testing;

/// Refusals at submission and of queued requests.
class endpoint_admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_admission_test);
    CPPUNIT_TEST(deadline_below_service_time_is_refused_at_submit);
    CPPUNIT_TEST(deadline_behind_backlog_is_refused_with_retry_delay);
    CPPUNIT_TEST(deadline_below_load_time_is_refused_for_cold_adapter);
    CPPUNIT_TEST(slowdown_refuses_queued_request_before_its_deadline);
    CPPUNIT_TEST(service_time_above_every_deadline_is_measured_again);
    CPPUNIT_TEST(slow_permits_are_requested_again);
    CPPUNIT_TEST(slow_loads_are_attempted_again);
    CPPUNIT_TEST(full_queue_refuses);
    CPPUNIT_TEST(leaving_endpoint_refuses_queued_and_new_requests);
    CPPUNIT_TEST(duplicate_id_is_refused);
    CPPUNIT_TEST(expected_wait_grows_with_queue);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        driver_.report({"a"});
        driver_.measure("a", work_class::short_work, milliseconds{400});
    }

    void deadline_below_service_time_is_refused_at_submit() {
        const auto refused = submit("1", milliseconds{300});
        CPPUNIT_ASSERT(refused && refusal_reason::deadline_unreachable == refused->reason);
        CPPUNIT_ASSERT(!submit("2", milliseconds{500}));
    }

    /// Guards against requests that are admitted and then stay queued until their deadline.
    void deadline_behind_backlog_is_refused_with_retry_delay() {
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!submit(std::to_string(i), milliseconds{2'000}));
            driver_.poll();
        }
        const auto refused = submit("late", milliseconds{550});
        CPPUNIT_ASSERT(refused && refusal_reason::deadline_unreachable == refused->reason);
        CPPUNIT_ASSERT(refused->retry_after >= milliseconds{100});
    }

    void deadline_below_load_time_is_refused_for_cold_adapter() {
        const auto deadline = at(driver_.now + milliseconds{500});
        CPPUNIT_ASSERT(driver_.submit(make_request("1", "b", work_class::short_work, deadline)));
        CPPUNIT_ASSERT(!submit("2", milliseconds{500}));
    }

    void slowdown_refuses_queued_request_before_its_deadline() {
        for (int i = 0; i < 3; ++i) {
            submit(std::to_string(i), milliseconds{2'000});
        }
        driver_.poll();
        driver_.now += milliseconds{1'300};
        const auto refused = only<refuse_action>(driver_.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), refused[0].request);
    }

    /// Guards against an endpoint that refuses all requests permanently after a slowdown, because
    /// no request runs that could show the end of the slowdown.
    void service_time_above_every_deadline_is_measured_again() {
        driver_.measure("a", work_class::short_work, milliseconds{20'000});
        CPPUNIT_ASSERT(submit("1", milliseconds{2'000}).has_value());
        driver_.now += milliseconds{20'000};
        CPPUNIT_ASSERT(!submit("2", milliseconds{2'000}));
    }

    /// Guards against permanent refusal of all adapters that are not resident after the store was
    /// slow.
    void slow_permits_are_requested_again() {
        load_cold("b", milliseconds{2'900}, milliseconds{0});
        load_cold("c", milliseconds{2'900}, milliseconds{0});
        CPPUNIT_ASSERT(submit_cold("1").has_value());
        driver_.now += milliseconds{20'000};
        CPPUNIT_ASSERT(!submit_cold("2"));
    }

    void slow_loads_are_attempted_again() {
        load_cold("b", milliseconds{0}, milliseconds{10'000});
        CPPUNIT_ASSERT(submit_cold("1").has_value());
        driver_.now += milliseconds{30'000};
        CPPUNIT_ASSERT(!submit_cold("2"));
    }

    void full_queue_refuses() {
        for (int i = 0; i < 4; ++i) {
            submit(std::to_string(i), milliseconds{60'000});
        }
        const auto refused = submit("4", milliseconds{60'000});
        CPPUNIT_ASSERT(refused && refusal_reason::queue_full == refused->reason);
    }

    void leaving_endpoint_refuses_queued_and_new_requests() {
        submit("1", milliseconds{60'000});
        driver_.scheduler.begin_leaving();
        const auto refused = only<refuse_action>(driver_.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.size());
        CPPUNIT_ASSERT(refusal_reason::endpoint_leaving == refused[0].cause.reason);
        CPPUNIT_ASSERT(submit("2", milliseconds{60'000}).has_value());
    }

    /// Guards against two results for one request id.
    void duplicate_id_is_refused() {
        submit("1", milliseconds{60'000});
        CPPUNIT_ASSERT(refusal_reason::duplicate == submit("1", milliseconds{60'000})->reason);
        driver_.poll();
        CPPUNIT_ASSERT(refusal_reason::duplicate == submit("1", milliseconds{60'000})->reason);
        driver_.finish("1");
        CPPUNIT_ASSERT(!submit("1", milliseconds{60'000}));
    }

    void expected_wait_grows_with_queue() {
        CPPUNIT_ASSERT(milliseconds{0} == driver_.scheduler.load(at(driver_.now)).expected_wait);
        for (int i = 0; i < 4; ++i) {
            submit(std::to_string(i), milliseconds{60'000});
        }
        driver_.poll();
        CPPUNIT_ASSERT(milliseconds{600} == driver_.scheduler.load(at(driver_.now)).expected_wait);
    }

private:
    void load_cold(const std::string& adapter, milliseconds permit_delay,
                   milliseconds load_duration) {
        driver_.scheduler.prefetch(adapter, 1, at(driver_.now));
        driver_.poll();
        driver_.now += permit_delay;
        driver_.permit(adapter);
        for (const auto& action : only<unload_action>(driver_.poll())) {
            driver_.scheduler.on_unload_done(action.adapter, true, at(driver_.now));
            driver_.poll();
        }
        driver_.now += load_duration;
        driver_.loaded(adapter);
    }

    std::optional<refusal> submit_cold(const std::string& id) {
        return driver_.submit(make_request(id, "cold", work_class::short_work,
                                           at(driver_.now + milliseconds{1'500})));
    }

    std::optional<refusal> submit(std::string id, milliseconds until_deadline) {
        return driver_.submit(make_request(std::move(id), "a", work_class::short_work,
                                           at(driver_.now + until_deadline)));
    }

    scheduler_driver driver_{scheduler_limits{.slots = 2, .batch_limit = 2, .queue_limit = 4}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_admission_test);

} // namespace
