#include "dragonflystair/policy/crash_suspects.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace {

using dragonflystair::policy::crash_suspects;
using dragonflystair::policy::suspicion;
using dragonflystair::support::time_point;

class crash_suspects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_suspects_test);
    CPPUNIT_TEST(request_repeated_at_another_node_is_isolated_and_quarantined);
    CPPUNIT_TEST(bystander_told_by_peer_is_cleared_by_finishing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second crash with other requests in flight, at a node that did not see the
    /// first one.
    void request_repeated_at_another_node_is_isolated_and_quarantined() {
        suspects_.on_suspicion(1, now_);
        CPPUNIT_ASSERT(suspects_.state(1, now_) == suspicion::suspect);
        const std::array alone{std::uint64_t{1}};
        suspects_.on_crash(alone, now_);
        CPPUNIT_ASSERT(suspects_.state(1, now_) == suspicion::quarantined);
    }

    void bystander_told_by_peer_is_cleared_by_finishing() {
        suspects_.on_suspicion(2, now_);
        suspects_.on_finished(2);
        CPPUNIT_ASSERT(suspects_.state(2, now_) == suspicion::clear);
    }

private:
    time_point now_{};
    crash_suspects suspects_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace
