#include "dragonflystair/fleet/placement_lease.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

/// Who may give orders to the engines of a data centre, and when.
class placement_lease_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_lease_test);
    CPPUNIT_TEST(vacant_lease_is_tried_by_rank);
    CPPUNIT_TEST(new_holder_waits_a_turn_before_its_first_order);
    CPPUNIT_TEST(holder_that_is_heard_keeps_candidates_away);
    CPPUNIT_TEST(silent_holder_is_succeeded);
    CPPUNIT_TEST(holder_without_store_and_peers_stops_after_its_lifetime);
    CPPUNIT_TEST(holder_without_store_goes_on_while_peers_would_tell);
    CPPUNIT_TEST(suspended_holder_renews_before_its_next_order);
    CPPUNIT_TEST(lapsed_membership_gets_a_new_fence_and_waits_again);
    CPPUNIT_TEST(renewal_keeps_the_fence);
    CPPUNIT_TEST(fenced_holder_stops);
    CPPUNIT_TEST(applicant_stays_until_the_dead_holder_lapses);
    CPPUNIT_TEST(applicant_leaves_when_another_holder_is_heard);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        lease_ = placement_lease(lease_limits{});
        lease_.on_tick(start);
    }

    void vacant_lease_is_tried_by_rank() {
        const auto settled = start + lease_limits{}.settling;
        CPPUNIT_ASSERT(!lease_.join_due(0, start + milliseconds{10}));
        CPPUNIT_ASSERT(lease_.join_due(0, settled));
        CPPUNIT_ASSERT(!lease_.join_due(1, settled));
        CPPUNIT_ASSERT(lease_.join_due(1, settled + lease_limits{}.candidate_step));
    }

    /// Guards against orders of two holders within one lease time.
    void new_holder_waits_a_turn_before_its_first_order() {
        win(7, start);
        CPPUNIT_ASSERT(!lease_.may_order(true, start + milliseconds{2'900}));
        CPPUNIT_ASSERT(lease_.may_order(true, start + milliseconds{3'000}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, lease_.fence());
    }

    void holder_that_is_heard_keeps_candidates_away() {
        for (int beat = 0; beat < 20; ++beat) {
            const auto now = start + milliseconds{500 * beat};
            lease_.on_holder_reported(3, now);
            CPPUNIT_ASSERT(!lease_.join_due(0, now + milliseconds{400}));
        }
    }

    void silent_holder_is_succeeded() {
        lease_.on_holder_reported(3, start);
        CPPUNIT_ASSERT(lease_.join_due(0, start + milliseconds{1'300}));
    }

    /// Guards against orders of a holder that is cut off and was succeeded.
    void holder_without_store_and_peers_stops_after_its_lifetime() {
        win(7, start);
        renew(7, start + milliseconds{1'900});
        renew(7, start + milliseconds{3'800});
        CPPUNIT_ASSERT(lease_.may_order(false, start + milliseconds{5'700}));
        CPPUNIT_ASSERT(!lease_.may_order(false, start + milliseconds{5'900}));
    }

    void holder_without_store_goes_on_while_peers_would_tell() {
        win(7, start);
        const auto later = start + milliseconds{9'000};
        CPPUNIT_ASSERT(lease_.may_order(true, later));
        lease_.on_holder_reported(8, later);
        CPPUNIT_ASSERT(!lease_.may_order(true, later));
    }

    /// Guards against an order of a node that thaws and does not know of its successor yet.
    void suspended_holder_renews_before_its_next_order() {
        win(7, start);
        lease_.on_tick(start + milliseconds{3'500});
        CPPUNIT_ASSERT(!lease_.may_order(true, start + milliseconds{3'500}));
    }

    void lapsed_membership_gets_a_new_fence_and_waits_again() {
        win(7, start);
        renew(12, start + milliseconds{6'000});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, lease_.fence());
        CPPUNIT_ASSERT(!lease_.may_order(true, start + milliseconds{6'100}));
    }

    /// The store deals all partitions anew at times, which changes the generation only.
    void renewal_keeps_the_fence() {
        win(7, start);
        renew(9, start + milliseconds{700});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, lease_.fence());
    }

    void fenced_holder_stops() {
        win(7, start);
        lease_.on_fenced(start + milliseconds{4'000});
        CPPUNIT_ASSERT(!lease_.holds());
    }

    /// Guards against seconds without a holder after one was killed: its membership lapses later.
    void applicant_stays_until_the_dead_holder_lapses() {
        lease_.on_join_sent(start);
        lease_.on_joined(5, false, start, start);
        CPPUNIT_ASSERT(!lease_.holds());
        CPPUNIT_ASSERT(!lease_.take_leave_due());
        CPPUNIT_ASSERT(lease_.join_due(3, start + lease_limits{}.renewal_period));
        win(6, start + milliseconds{1'500});
    }

    /// Guards against two candidates that take the partitions from each other for ever.
    void applicant_leaves_when_another_holder_is_heard() {
        lease_.on_join_sent(start);
        lease_.on_joined(5, false, start, start);
        lease_.on_holder_reported(5, start + milliseconds{100});
        CPPUNIT_ASSERT(lease_.take_leave_due());
        CPPUNIT_ASSERT(!lease_.take_leave_due());
        CPPUNIT_ASSERT(!lease_.join_due(0, start + milliseconds{1'000}));
    }

private:
    void win(std::uint64_t generation, support::time_point now) {
        lease_.on_join_sent(now);
        lease_.on_joined(generation, true, now, now);
        CPPUNIT_ASSERT(lease_.holds());
    }
    void renew(std::uint64_t generation, support::time_point now) { win(generation, now); }

    placement_lease lease_{lease_limits{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_lease_test);

} // namespace
