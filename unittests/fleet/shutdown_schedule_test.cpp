#include "dragonflystair/fleet/shutdown_schedule.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair;
using fleet::shutdown_schedule;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};
constexpr milliseconds limit{8'000};

/// Which calls a stopping node takes, and when it ends.
class shutdown_schedule_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shutdown_schedule_test);
    CPPUNIT_TEST(call_accepted_late_in_a_stop_outlives_the_node);
    CPPUNIT_TEST(node_without_calls_ends_before_callers_have_left);
    CPPUNIT_TEST(refused_caller_returns_when_it_can_be_served);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays calls that come every 10 ms until the node exits, each with the time that it may
    /// take. A call that uses all of it is answered before the exit, and one that could be answered
    /// is not refused.
    void call_accepted_late_in_a_stop_outlives_the_node() {
        const shutdown_schedule schedule(start, limit);
        for (const milliseconds time :
             {milliseconds{200}, milliseconds{1'000}, milliseconds{4'000}, milliseconds{10'000}}) {
            for (auto arrived = start; arrived < schedule.ends_at(); arrived += milliseconds{10}) {
                const bool in_time = arrived + time <= schedule.answers_by();
                CPPUNIT_ASSERT_EQUAL(in_time, schedule.admits(arrived + time));
            }
        }
        CPPUNIT_ASSERT(schedule.answers_by() < schedule.ends_at());
        CPPUNIT_ASSERT(schedule.ends_at() < start + limit);
    }

    /// Replays callers that come every 100 ms for some time, since they keep addresses.
    void node_without_calls_ends_before_callers_have_left() {
        const shutdown_schedule schedule(start, limit);
        const auto last_request = start + milliseconds{3'000};
        auto now = start;
        for (; now <= last_request; now += milliseconds{100}) {
            CPPUNIT_ASSERT(!schedule.may_close(now, now, false));
        }
        CPPUNIT_ASSERT(
            !schedule.may_close(last_request + milliseconds{1'000}, last_request, false));
        CPPUNIT_ASSERT(schedule.may_close(last_request + milliseconds{2'000}, last_request, false));
        CPPUNIT_ASSERT(!schedule.may_close(last_request + milliseconds{2'000}, last_request, true));
        CPPUNIT_ASSERT(schedule.may_close(schedule.closes_at(), schedule.closes_at(), true));
    }

    void refused_caller_returns_when_it_can_be_served() {
        const shutdown_schedule schedule(start, limit);
        const auto now = start + milliseconds{4'000};
        CPPUNIT_ASSERT(schedule.retry_after(now, true) < milliseconds{1'000});
        CPPUNIT_ASSERT(now + schedule.retry_after(now, false) >= schedule.ends_at());
        CPPUNIT_ASSERT(schedule.retry_after(start + limit, false) > milliseconds{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_schedule_test);

} // namespace
