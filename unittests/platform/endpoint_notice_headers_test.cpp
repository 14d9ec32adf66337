#include "platform/call_headers.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;
using std::chrono::milliseconds;

/// State of an endpoint as read from the headers of its responses.
class endpoint_notice_headers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_headers_test);
    CPPUNIT_TEST(response_without_headers_gives_empty_notice);
    CPPUNIT_TEST(leaving_header_of_one_means_leaving);
    CPPUNIT_TEST(leaving_header_of_another_value_is_malformed);
    CPPUNIT_TEST(retry_after_may_have_a_fraction);
    CPPUNIT_TEST(retry_after_of_many_digits_stays_in_range);
    CPPUNIT_TEST(retry_after_of_date_sign_or_zero_is_malformed);
    CPPUNIT_TEST(retry_after_of_other_status_is_ignored);
    CPPUNIT_TEST(limit_is_decimal_number_of_any_status);
    CPPUNIT_TEST(limit_of_text_sign_zero_or_huge_number_is_malformed);
    CPPUNIT_TEST(limit_that_is_named_twice_is_malformed);
    CPPUNIT_TEST_SUITE_END();

public:
    void response_without_headers_gives_empty_notice() {
        const auto notice = notice_of(503, {{"Not-Run", "1"}});
        CPPUNIT_ASSERT(!notice.leaving && !notice.retry_after && !notice.malformed);
    }

    void leaving_header_of_one_means_leaving() {
        const auto notice = notice_of(200, {{"server-leaving", "1"}});
        CPPUNIT_ASSERT(notice.leaving && !notice.malformed);
    }

    void leaving_header_of_another_value_is_malformed() {
        for (const auto* value : {"", "0", "true", "1, 1", "11"}) {
            const auto notice = notice_of(200, {{"Server-Leaving", value}});
            CPPUNIT_ASSERT_MESSAGE(value, !notice.leaving && notice.malformed);
        }
    }

    void retry_after_may_have_a_fraction() {
        CPPUNIT_ASSERT(milliseconds{30'000} == notice_of_503("30").retry_after);
        CPPUNIT_ASSERT(milliseconds{1'500} == notice_of_503("1.5").retry_after);
    }

    void retry_after_of_many_digits_stays_in_range() {
        const auto notice = notice_of_503(std::string(18, '9'));
        CPPUNIT_ASSERT(notice.retry_after && *notice.retry_after > std::chrono::hours{24});
    }

    void retry_after_of_date_sign_or_zero_is_malformed() {
        for (const auto* value : {"Fri, 04 Dec 2026 14:00:00 GMT", "-1", "+1", "0", "", " 5", "5 s",
                                  "nan", "inf", "1e3"}) {
            const auto notice = notice_of_503(value);
            CPPUNIT_ASSERT_MESSAGE(value, !notice.retry_after && notice.malformed);
        }
    }

    void retry_after_of_other_status_is_ignored() {
        CPPUNIT_ASSERT(!notice_of(429, {{"Retry-After", "5"}}).retry_after);
    }

    void limit_is_decimal_number_of_any_status() {
        for (const int status : {200, 202, 409, 421, 500, 503}) {
            const auto notice = notice_of(status, {{"server-limit", "2.3"}});
            CPPUNIT_ASSERT(notice.limit && !notice.malformed && !notice.limit_malformed);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(2.3, *notice.limit, 1e-9);
        }
    }

    void limit_of_text_sign_zero_or_huge_number_is_malformed() {
        for (const auto* value : {"", "many", "-2", "+2", "0", "0.0", "nan", "inf", "1e3", "2 ",
                                  "2;3", "2,3", "99999999", "1000000000000000000000000"}) {
            const auto notice = notice_of(200, {{"Server-Limit", value}});
            CPPUNIT_ASSERT_MESSAGE(value,
                                   !notice.limit && notice.limit_malformed && notice.malformed);
        }
    }

    void limit_that_is_named_twice_is_malformed() {
        const std::vector<std::string> repeated{"server-limit"};
        const auto notice = notice_of(200, {{"Server-Limit", "2"}}, repeated);
        CPPUNIT_ASSERT(!notice.limit && notice.limit_malformed && notice.malformed);
    }

private:
    static endpoint_notice notice_of_503(const std::string& after) {
        return notice_of(503, {{"Retry-After", after}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_headers_test);

} // namespace
