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
    CPPUNIT_TEST(suspect_reported_by_peer_is_cleared_by_finishing);
    CPPUNIT_TEST(stream_with_tokens_is_isolated_after_a_second_crash_only);
    CPPUNIT_TEST(stream_with_tokens_that_crashes_alone_again_is_quarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a second crash with other requests in flight, at a node that did not observe
    /// the first one.
    void request_repeated_at_another_node_is_isolated_and_quarantined() {
        suspects_.mark_suspect(1, now_);
        CPPUNIT_ASSERT(suspects_.state(1, now_) == suspicion::suspect);
        const std::array alone{std::uint64_t{1}};
        suspects_.on_crash(alone, now_);
        CPPUNIT_ASSERT(suspects_.state(1, now_) == suspicion::quarantined);
    }

    void suspect_reported_by_peer_is_cleared_by_finishing() {
        suspects_.mark_suspect(2, now_);
        suspects_.on_finished(2);
        CPPUNIT_ASSERT(suspects_.state(2, now_) == suspicion::clear);
    }

    /// Guards against all streams of a crashed endpoint being resumed one at a time.
    void stream_with_tokens_is_isolated_after_a_second_crash_only() {
        const std::array starting{std::uint64_t{1}};
        const std::array streaming{std::uint64_t{2}, std::uint64_t{3}};
        suspects_.on_crash(starting, streaming, now_);
        CPPUNIT_ASSERT(suspects_.state(1, now_) == suspicion::suspect);
        CPPUNIT_ASSERT(suspects_.state(2, now_) == suspicion::watched);
        suspects_.on_crash({}, streaming, now_);
        CPPUNIT_ASSERT(suspects_.state(2, now_) == suspicion::suspect);
    }

    void stream_with_tokens_that_crashes_alone_again_is_quarantined() {
        const std::array alone{std::uint64_t{4}};
        suspects_.on_crash({}, alone, now_);
        suspects_.on_crash({}, alone, now_);
        CPPUNIT_ASSERT(suspects_.state(4, now_) == suspicion::quarantined);
    }

private:
    time_point now_{};
    crash_suspects suspects_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace
