#include "dragonflystair/policy/load_reporter.h"

#include "scheduler_driver.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair::policy;
using namespace dragonflystair::policy::testing;

class load_reporter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_reporter_test);
    CPPUNIT_TEST(unchanged_load_is_reported_in_the_default_interval);
    CPPUNIT_TEST(change_by_a_quarter_of_the_batch_is_reported_early);
    CPPUNIT_TEST(slow_growth_is_compared_with_the_last_report);
    CPPUNIT_TEST(changed_adapters_are_reported_early);
    CPPUNIT_TEST(changes_within_the_min_interval_are_delayed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        load_.batch_limit = 8;
        CPPUNIT_ASSERT(reporter_.due(load_, at(milliseconds{0})));
    }

    void unchanged_load_is_reported_in_the_default_interval() {
        CPPUNIT_ASSERT(!reporter_.due(load_, at(milliseconds{999})));
        CPPUNIT_ASSERT(reporter_.due(load_, at(milliseconds{1'000})));
    }

    /// Guards against requests routed to an endpoint whose batch has filled up since its last
    /// report.
    void change_by_a_quarter_of_the_batch_is_reported_early() {
        load_.running = 1;
        CPPUNIT_ASSERT(!reporter_.due(load_, at(milliseconds{200})));
        load_.queued = 1;
        CPPUNIT_ASSERT(reporter_.due(load_, at(milliseconds{200})));
    }

    void slow_growth_is_compared_with_the_last_report() {
        load_.running = 1;
        CPPUNIT_ASSERT(!reporter_.due(load_, at(milliseconds{200})));
        load_.running = 2;
        CPPUNIT_ASSERT(reporter_.due(load_, at(milliseconds{300})));
    }

    void changed_adapters_are_reported_early() {
        load_.resident = {"a"};
        CPPUNIT_ASSERT(reporter_.due(load_, at(milliseconds{200})));
    }

    /// Guards against an excessive rate of reports.
    void changes_within_the_min_interval_are_delayed() {
        load_.running = 8;
        CPPUNIT_ASSERT(!reporter_.due(load_, at(milliseconds{99})));
        CPPUNIT_ASSERT(reporter_.due(load_, at(milliseconds{100})));
    }

private:
    load_reporter reporter_;
    endpoint_load load_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_reporter_test);

} // namespace
