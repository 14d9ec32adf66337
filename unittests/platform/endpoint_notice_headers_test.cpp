#include "platform/call_headers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;
using std::chrono::milliseconds;

/// What the headers of an endpoint's answer say about the endpoint.
class endpoint_notice_headers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_headers_test);
    CPPUNIT_TEST(answer_without_the_headers_says_nothing);
    CPPUNIT_TEST(endpoint_that_leaves_says_one);
    CPPUNIT_TEST(other_values_of_leaving_are_damaged);
    CPPUNIT_TEST(seconds_may_have_a_fraction);
    CPPUNIT_TEST(endless_seconds_stay_in_range);
    CPPUNIT_TEST(dates_signs_and_zero_are_damaged);
    CPPUNIT_TEST(time_of_another_status_is_the_callers);
    CPPUNIT_TEST_SUITE_END();

public:
    void answer_without_the_headers_says_nothing() {
        const auto notice = notice_of(503, {{"Not-Run", "1"}});
        CPPUNIT_ASSERT(!notice.leaving && !notice.retry_after && !notice.malformed);
    }

    void endpoint_that_leaves_says_one() {
        const auto notice = notice_of(200, {{"server-leaving", "1"}});
        CPPUNIT_ASSERT(notice.leaving && !notice.malformed);
    }

    void other_values_of_leaving_are_damaged() {
        for (const auto* value : {"", "0", "true", "1, 1", "11"}) {
            const auto notice = notice_of(200, {{"Server-Leaving", value}});
            CPPUNIT_ASSERT_MESSAGE(value, !notice.leaving && notice.malformed);
        }
    }

    void seconds_may_have_a_fraction() {
        CPPUNIT_ASSERT(milliseconds{30'000} == refused("30").retry_after);
        CPPUNIT_ASSERT(milliseconds{1'500} == refused("1.5").retry_after);
    }

    void endless_seconds_stay_in_range() {
        const auto notice = refused(std::string(18, '9'));
        CPPUNIT_ASSERT(notice.retry_after && *notice.retry_after > std::chrono::hours{24});
    }

    void dates_signs_and_zero_are_damaged() {
        for (const auto* value : {"Fri, 04 Dec 2026 14:00:00 GMT", "-1", "+1", "0", "", " 5", "5 s",
                                  "nan", "inf", "1e3"}) {
            const auto notice = refused(value);
            CPPUNIT_ASSERT_MESSAGE(value, !notice.retry_after && notice.malformed);
        }
    }

    void time_of_another_status_is_the_callers() {
        CPPUNIT_ASSERT(!notice_of(429, {{"Retry-After", "5"}}).retry_after);
    }

private:
    static endpoint_notice refused(const std::string& after) {
        return notice_of(503, {{"Retry-After", after}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_headers_test);

} // namespace
