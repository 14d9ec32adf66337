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
    CPPUNIT_TEST(promises_without_one_live_session_are_insufficient);
    CPPUNIT_TEST(promise_of_session_that_reaches_the_log_again_is_void);
    CPPUNIT_TEST(promise_buffered_during_a_pause_is_expired);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against continued serving while a session that made no promise takes over.
    void promises_without_one_live_session_are_insufficient() {
        promises_.on_heartbeat("a", true, start_);
        CPPUNIT_ASSERT(promises_.all_promised(std::vector<std::string>{"a"}, start_ + 9s));
        CPPUNIT_ASSERT(!promises_.all_promised(std::vector<std::string>{"a", "b"}, start_ + 1s));
    }

    /// Guards against a promise that stays valid after its peer can read the log again.
    void promise_of_session_that_reaches_the_log_again_is_void() {
        promises_.on_heartbeat("a", true, start_);
        promises_.on_heartbeat("a", false, start_ + 1s);
        CPPUNIT_ASSERT(!promises_.all_promised(std::vector<std::string>{"a"}, start_ + 2s));
    }

    /// Guards against a holder that reads outdated promises from a buffer after a pause.
    void promise_buffered_during_a_pause_is_expired() {
        const auto resumed = start_ + 60s;
        promises_.on_heartbeat("a", true, start_);
        CPPUNIT_ASSERT(!promises_.all_promised(std::vector<std::string>{"a"}, resumed));
    }

private:
    time_point start_{100s};
    outage_promises promises_{10s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(outage_promises_test);

} // namespace
