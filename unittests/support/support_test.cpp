#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/finding.h"
#include "dragonflystair/support/hash.h"
#include "dragonflystair/support/latency_histogram.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace dragonflystair::support;

class support_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(support_test);
    CPPUNIT_TEST(findings_out_of_order_are_rendered_by_place);
    CPPUNIT_TEST(counter_with_reason_is_rendered_as_label);
    CPPUNIT_TEST(rendezvous_order_after_member_leaves_keeps_the_rest);
    CPPUNIT_TEST(latencies_are_rendered_as_cumulative_buckets);
    CPPUNIT_TEST_SUITE_END();

public:
    void findings_out_of_order_are_rendered_by_place() {
        const findings unordered{{"b.ini", 2, "second"}, {"b.ini", 1, "first"}};
        CPPUNIT_ASSERT_EQUAL(std::string("b.ini:1: error: first\nb.ini:2: error: second\n"),
                             to_string(unordered));
    }

    void counter_with_reason_is_rendered_as_label() {
        counters counted;
        counted.increment("refusals_total", "queue_full", 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counted.value("refusals_total", "queue_full"));
        CPPUNIT_ASSERT(
            counted.render().find("dragonflystair_refusals_total{reason=\"queue_full\"} 2") !=
            std::string::npos);
    }

    /// Guards against buckets that are not cumulative, and against the loss of samples above the
    /// last bound.
    void latencies_are_rendered_as_cumulative_buckets() {
        latency_histogram latencies;
        latencies.record(std::chrono::microseconds{100});
        latencies.record(std::chrono::milliseconds{3});
        latencies.record(std::chrono::minutes{2});
        std::string text;
        latencies.render("call_seconds", text);
        const auto has = [&](std::string_view line) {
            return text.find(std::string(line) + "\n") != std::string::npos;
        };
        CPPUNIT_ASSERT(has("dragonflystair_call_seconds_bucket{le=\"0.002\"} 1"));
        CPPUNIT_ASSERT(has("dragonflystair_call_seconds_bucket{le=\"0.004\"} 2"));
        CPPUNIT_ASSERT(has("dragonflystair_call_seconds_bucket{le=\"32.768\"} 2"));
        CPPUNIT_ASSERT(has("dragonflystair_call_seconds_bucket{le=\"+Inf\"} 3"));
        CPPUNIT_ASSERT(has("dragonflystair_call_seconds_count 3"));
    }

    /// Guards against a change of owner for endpoints whose owner did not leave.
    void rendezvous_order_after_member_leaves_keeps_the_rest() {
        const std::vector<std::string> members{"a", "b", "c", "d"};
        auto all = rendezvous_order("endpoint-1", members);
        const std::vector<std::string> rest{"a", "c", "d"};
        const auto fewer = rendezvous_order("endpoint-1", rest);
        std::erase(all, "b");
        CPPUNIT_ASSERT(all == fewer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(support_test);

} // namespace
