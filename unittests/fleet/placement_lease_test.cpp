#include "dragonflystair/fleet/placement_lease.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

/// Which node may send orders to the engines of a data centre, and when.
class placement_lease_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_lease_test);
    CPPUNIT_TEST(vacant_lease_is_joined_by_rank);
    CPPUNIT_TEST(new_holder_delays_its_first_order);
    CPPUNIT_TEST(reported_holder_keeps_candidates_from_joining);
    CPPUNIT_TEST(unreported_holder_is_succeeded);
    CPPUNIT_TEST(holder_without_store_and_peers_stops_after_its_lifetime);
    CPPUNIT_TEST(holder_without_store_continues_while_peers_would_report_a_newer_one);
    CPPUNIT_TEST(suspended_holder_renews_before_its_next_order);
    CPPUNIT_TEST(expired_membership_gets_a_new_fence_and_delays_orders_again);
    CPPUNIT_TEST(renewal_keeps_the_fence);
    CPPUNIT_TEST(fenced_holder_stops);
    CPPUNIT_TEST(member_stays_until_the_dead_holder_expires);
    CPPUNIT_TEST(member_leaves_when_another_holder_is_reported);
    CPPUNIT_TEST(fencing_number_of_a_later_era_is_above_all_earlier_ones);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        lease_ = placement_lease(lease_limits{});
        lease_.on_tick(start);
    }

    void vacant_lease_is_joined_by_rank() {
        const auto vacancy_end = start + lease_limits{}.vacancy_delay;
        CPPUNIT_ASSERT(!lease_.join_due(0, start + milliseconds{10}));
        CPPUNIT_ASSERT(lease_.join_due(0, vacancy_end));
        CPPUNIT_ASSERT(!lease_.join_due(1, vacancy_end));
        CPPUNIT_ASSERT(lease_.join_due(1, vacancy_end + lease_limits{}.candidate_step));
    }

    /// Guards against two holders with one fencing number: a restored store assigns generations
    /// again.
    void fencing_number_of_a_later_era_is_above_all_earlier_ones() {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fencing_number(0, 7));
        CPPUNIT_ASSERT(fencing_number(1, 2) > fencing_number(0, 1'000'000));
        CPPUNIT_ASSERT(fencing_number(2, 0) > fencing_number(1, 1'000'000));
    }

    /// Guards against orders of two holders within one lease time.
    void new_holder_delays_its_first_order() {
        acquire(7, start);
        CPPUNIT_ASSERT(!lease_.may_order(true, start + milliseconds{2'900}));
        CPPUNIT_ASSERT(lease_.may_order(true, start + milliseconds{3'000}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, lease_.fence());
    }

    void reported_holder_keeps_candidates_from_joining() {
        for (int report = 0; report < 20; ++report) {
            const auto now = start + milliseconds{500 * report};
            lease_.on_holder_reported(3, now);
            CPPUNIT_ASSERT(!lease_.join_due(0, now + milliseconds{400}));
        }
    }

    void unreported_holder_is_succeeded() {
        lease_.on_holder_reported(3, start);
        CPPUNIT_ASSERT(lease_.join_due(0, start + milliseconds{1'300}));
    }

    /// Guards against orders of a partitioned holder that was replaced.
    void holder_without_store_and_peers_stops_after_its_lifetime() {
        acquire(7, start);
        renew(7, start + milliseconds{1'900});
        renew(7, start + milliseconds{3'800});
        CPPUNIT_ASSERT(lease_.may_order(false, start + milliseconds{5'700}));
        CPPUNIT_ASSERT(!lease_.may_order(false, start + milliseconds{5'900}));
    }

    void holder_without_store_continues_while_peers_would_report_a_newer_one() {
        acquire(7, start);
        const auto later = start + milliseconds{9'000};
        CPPUNIT_ASSERT(lease_.may_order(true, later));
        lease_.on_holder_reported(8, later);
        CPPUNIT_ASSERT(!lease_.may_order(true, later));
    }

    /// Guards against an order of a node that resumes after a suspension and is not aware of its
    /// successor.
    void suspended_holder_renews_before_its_next_order() {
        acquire(7, start);
        lease_.on_tick(start + milliseconds{3'500});
        CPPUNIT_ASSERT(!lease_.may_order(true, start + milliseconds{3'500}));
    }

    void expired_membership_gets_a_new_fence_and_delays_orders_again() {
        acquire(7, start);
        renew(12, start + milliseconds{6'000});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, lease_.fence());
        CPPUNIT_ASSERT(!lease_.may_order(true, start + milliseconds{6'100}));
    }

    /// The store rebalances the partitions at times, which changes only the generation.
    void renewal_keeps_the_fence() {
        acquire(7, start);
        renew(9, start + milliseconds{700});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, lease_.fence());
    }

    void fenced_holder_stops() {
        acquire(7, start);
        lease_.on_fenced(start + milliseconds{4'000});
        CPPUNIT_ASSERT(!lease_.holds());
    }

    /// Guards against seconds without a holder after one was killed: its membership expires later.
    void member_stays_until_the_dead_holder_expires() {
        lease_.on_join_sent(start);
        lease_.on_joined(5, false, start, start);
        CPPUNIT_ASSERT(!lease_.holds());
        CPPUNIT_ASSERT(!lease_.take_leave_due());
        CPPUNIT_ASSERT(lease_.join_due(3, start + lease_limits{}.renewal_period));
        acquire(6, start + milliseconds{1'500});
    }

    /// Guards against two candidates that take the partitions from each other indefinitely.
    void member_leaves_when_another_holder_is_reported() {
        lease_.on_join_sent(start);
        lease_.on_joined(5, false, start, start);
        lease_.on_holder_reported(5, start + milliseconds{100});
        CPPUNIT_ASSERT(lease_.take_leave_due());
        CPPUNIT_ASSERT(!lease_.take_leave_due());
        CPPUNIT_ASSERT(!lease_.join_due(0, start + milliseconds{1'000}));
    }

private:
    void acquire(std::uint64_t generation, support::time_point now) {
        lease_.on_join_sent(now);
        lease_.on_joined(generation, true, now, now);
        CPPUNIT_ASSERT(lease_.holds());
    }
    void renew(std::uint64_t generation, support::time_point now) { acquire(generation, now); }

    placement_lease lease_{lease_limits{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_lease_test);

} // namespace
