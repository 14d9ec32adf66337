#include "dragonflystair/net/byte_budget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace {

using dragonflystair::net::byte_budget;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

/// Ten MiB, of which two are reserved for requests that are being served, and 32 connections.
constexpr byte_budget::limits small_limits{10 * mib, 2 * mib, 32, 0};

class byte_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(byte_budget_test);
    CPPUNIT_TEST(body_that_stopped_first_is_closed_for_one_that_arrives);
    CPPUNIT_TEST(short_body_is_granted_while_long_ones_hold_everything);
    CPPUNIT_TEST(sender_of_single_bytes_makes_no_progress);
    CPPUNIT_TEST(body_larger_than_the_waiting_share_is_refused);
    CPPUNIT_TEST(requests_being_served_are_never_closed);
    CPPUNIT_TEST(stalled_connections_make_room_for_new_ones);
    CPPUNIT_TEST(new_connections_wait_while_none_has_stalled);
    CPPUNIT_TEST(unread_responses_make_room_where_nothing_else_does);
    CPPUNIT_TEST(address_with_too_many_connections_is_refused);
    CPPUNIT_TEST(closed_connections_leave_no_bytes);
    CPPUNIT_TEST_SUITE_END();

    byte_budget budget_{small_limits};
    byte_budget::time_point now_{seconds(100)};

    using holders = std::vector<byte_budget::holder>;

    void open(byte_budget::holder id) { CPPUNIT_ASSERT(budget_.open(id, "10.0.0.1", now_)); }

    /// Opens connections 1 to `count` one after the other, each with a body of this size.
    void open_with_bodies(byte_budget::holder count, std::size_t bytes) {
        for (byte_budget::holder id = 1; id <= count; ++id) {
            open(id);
            CPPUNIT_ASSERT(budget_.hold(id, bytes, now_).granted);
            now_ += milliseconds(1);
        }
    }

public:
    void setUp() override { budget_ = byte_budget(small_limits); }

    /// Bodies without their last byte.
    void body_that_stopped_first_is_closed_for_one_that_arrives() {
        open_with_bodies(2, 4 * mib);
        open(3);
        const auto verdict = budget_.hold(3, 16 * kib, now_);
        CPPUNIT_ASSERT(verdict.granted);
        CPPUNIT_ASSERT(verdict.closed == holders{1});
    }

    void short_body_is_granted_while_long_ones_hold_everything() {
        open_with_bodies(2, 4 * mib);
        for (byte_budget::holder id = 3; id < 20; ++id) {
            open(id);
            CPPUNIT_ASSERT(budget_.hold(id, 32 * kib, now_).granted);
        }
        CPPUNIT_ASSERT(budget_.held() <= small_limits.bytes - small_limits.reserved);
    }

    /// Slow senders, which would otherwise outlast callers that send at once.
    void sender_of_single_bytes_makes_no_progress() {
        open_with_bodies(2, 4 * mib);
        for (int i = 0; i < 100; ++i) {
            now_ += milliseconds(100);
            budget_.receive(1, 1, now_);
            budget_.receive(2, byte_budget::progress_bytes, now_);
        }
        open(3);
        CPPUNIT_ASSERT(budget_.hold(3, mib, now_).closed == holders{1});
    }

    void body_larger_than_the_waiting_share_is_refused() {
        open(1);
        CPPUNIT_ASSERT(!budget_.hold(1, 9 * mib, now_).granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.held());
    }

    /// A call that is being served must not be cut off for one that arrives.
    void requests_being_served_are_never_closed() {
        open_with_bodies(2, 4 * mib);
        budget_.set_busy(1, true, now_);
        budget_.set_busy(2, true, now_);
        CPPUNIT_ASSERT(!budget_.has_room(3 * mib));
        open(3);
        const auto verdict = budget_.hold(3, 3 * mib, now_ + seconds(1));
        CPPUNIT_ASSERT(!verdict.granted);
        CPPUNIT_ASSERT(verdict.closed.empty());
        CPPUNIT_ASSERT(budget_.hold(3, mib, now_).granted);
    }

    /// Half-way stops and idle connections.
    void stalled_connections_make_room_for_new_ones() {
        open_with_bodies(32, kib);
        now_ += byte_budget::min_stall;
        const auto verdict = budget_.make_room(now_);
        CPPUNIT_ASSERT(!verdict.granted);
        CPPUNIT_ASSERT((verdict.closed == holders{1, 2, 3, 4}));
        // Those are closing, so no others are closed for the same reason.
        CPPUNIT_ASSERT(budget_.make_room(now_).closed.empty());
        budget_.close(1);
        CPPUNIT_ASSERT(budget_.make_room(now_).granted);
    }

    void new_connections_wait_while_none_has_stalled() {
        for (byte_budget::holder id = 1; id <= 32; ++id) {
            open(id);
        }
        const auto verdict = budget_.make_room(now_);
        CPPUNIT_ASSERT(!verdict.granted);
        CPPUNIT_ASSERT(verdict.closed.empty());
    }

    /// Pipelined requests whose responses are not read, on all connections.
    void unread_responses_make_room_where_nothing_else_does() {
        for (byte_budget::holder id = 1; id <= 32; ++id) {
            open(id);
            budget_.set_busy(id, true, now_);
        }
        budget_.set_writing(7, true, now_);
        budget_.set_writing(8, true, now_);
        budget_.set_writing(8, false, now_);
        now_ += byte_budget::min_unread - milliseconds(1);
        CPPUNIT_ASSERT(budget_.make_room(now_).closed.empty());
        CPPUNIT_ASSERT(budget_.make_room(now_ + milliseconds(1)).closed == holders{7});
    }

    void address_with_too_many_connections_is_refused() {
        auto limits = small_limits;
        limits.connections_per_address = 2;
        budget_ = byte_budget(limits);
        open(1);
        open(2);
        CPPUNIT_ASSERT(!budget_.open(3, "10.0.0.1", now_));
        CPPUNIT_ASSERT(budget_.open(4, "10.0.0.2", now_));
        budget_.close(1);
        open(5);
    }

    /// Guards against a budget that shrinks with each connection that it closed.
    void closed_connections_leave_no_bytes() {
        open_with_bodies(2, 4 * mib);
        open(3);
        budget_.hold(3, 5 * mib, now_);
        budget_.set_busy(3, true, now_);
        for (byte_budget::holder id = 1; id <= 3; ++id) {
            budget_.close(id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.held());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_.connections());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(byte_budget_test);

} // namespace
