#include "dragonflystair/membership/outage_promises.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using dragonflystair::membership::outage_promises;
using dragonflystair::support::time_point;

class outage_promises_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(outage_promises_test);
    CPPUNIT_TEST(cover_with_one_silent_session_is_refused);
    CPPUNIT_TEST(cover_with_one_session_that_reaches_the_log_is_refused);
    CPPUNIT_TEST(cover_after_a_pause_ignores_buffered_statements);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against serving on while a session that says nothing takes over.
    void cover_with_one_silent_session_is_refused() {
        promises_.on_heartbeat("a", true, start_);
        CPPUNIT_ASSERT(promises_.all_promised(std::vector<std::string>{"a"}, start_ + 9s));
        CPPUNIT_ASSERT(!promises_.all_promised(std::vector<std::string>{"a", "b"}, start_ + 1s));
    }

    /// Guards against an old promise that outlives the end of the outage.
    void cover_with_one_session_that_reaches_the_log_is_refused() {
        promises_.on_heartbeat("a", true, start_);
        promises_.on_heartbeat("a", false, start_ + 1s);
        CPPUNIT_ASSERT(!promises_.all_promised(std::vector<std::string>{"a"}, start_ + 2s));
    }

    /// Guards against a holder that was paused and then reads statements made long before.
    void cover_after_a_pause_ignores_buffered_statements() {
        const auto woken = start_ + 60s;
        promises_.on_heartbeat("a", true, start_);
        CPPUNIT_ASSERT(!promises_.all_promised(std::vector<std::string>{"a"}, woken));
    }

private:
    time_point start_{100s};
    outage_promises promises_{10s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(outage_promises_test);

} // namespace
