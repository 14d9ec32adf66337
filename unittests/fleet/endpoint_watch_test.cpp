#include "dragonflystair/fleet/endpoint_watch.h"

#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

/// Which entries of the VM list are valid.
class endpoint_watch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_watch_test);
    CPPUNIT_TEST(missing_entry_of_a_reachable_store_is_gone_at_once);
    CPPUNIT_TEST(entry_missing_during_an_outage_is_kept);
    CPPUNIT_TEST(entry_back_after_the_outage_is_not_gone);
    CPPUNIT_TEST(entry_still_missing_after_the_relist_time_is_gone);
    CPPUNIT_TEST(late_heartbeat_does_not_restore_a_draining_endpoint);
    CPPUNIT_TEST(endpoint_that_starts_again_is_ready);
    CPPUNIT_TEST(late_heartbeat_does_not_restore_a_removed_endpoint);
    CPPUNIT_TEST(restored_entries_do_not_restore_a_removed_endpoint);
    CPPUNIT_TEST(endpoint_removed_after_one_listing_is_not_accepted_at_once);
    CPPUNIT_TEST(entry_missing_from_restored_list_is_kept_until_it_is_listed_again);
    CPPUNIT_TEST(restored_entry_of_former_run_does_not_replace_the_present_run);
    CPPUNIT_TEST(restored_entry_of_former_run_does_not_restore_a_removed_endpoint);
    CPPUNIT_TEST(late_list_of_restored_store_does_not_restore_a_removed_endpoint);
    CPPUNIT_TEST(late_entry_of_former_run_does_not_replace_the_present_run);
    CPPUNIT_TEST(late_entries_of_former_run_do_not_lift_what_the_present_run_said);
    CPPUNIT_TEST(late_entries_of_former_run_do_not_restore_a_removed_endpoint);
    CPPUNIT_TEST(late_entry_of_former_run_does_not_keep_a_missing_endpoint);
    CPPUNIT_TEST(run_with_earlier_start_is_accepted_at_its_second_entry);
    CPPUNIT_TEST(run_with_earlier_start_is_accepted_after_a_restoration);
    CPPUNIT_TEST(removed_endpoint_with_earlier_start_is_accepted_at_its_second_entry);
    CPPUNIT_TEST(entries_of_two_runs_in_turn_keep_the_run_in_force);
    CPPUNIT_TEST(answer_just_before_a_run_is_listed_holds_for_that_run);
    CPPUNIT_TEST(run_after_a_listed_leaving_or_a_removal_is_ready);
    CPPUNIT_TEST(endpoint_that_starts_again_with_equal_start_is_ready_in_time);
    CPPUNIT_TEST(draining_of_run_with_earlier_start_is_believed);
    CPPUNIT_TEST(draining_entry_of_doubted_run_is_believed_for_a_while);
    CPPUNIT_TEST(draining_of_a_later_run_does_not_lift_that_of_the_present_one);
    CPPUNIT_TEST(only_runs_that_were_in_force_or_are_earlier_are_former_ones);
    CPPUNIT_TEST(node_that_started_since_learns_of_a_removal);
    CPPUNIT_TEST_SUITE_END();

public:
    void missing_entry_of_a_reachable_store_is_gone_at_once() {
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        CPPUNIT_ASSERT(watch_.take_gone(start).empty());
    }

    void entry_missing_during_an_outage_is_kept() {
        watch_.set_store_reachable(false, start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT(watch_.take_gone(start + std::chrono::minutes{5}).empty());
    }

    void entry_back_after_the_outage_is_not_gone() {
        watch_.set_store_reachable(false, start);
        watch_.on_missing("a", start);
        watch_.set_store_reachable(true, start + milliseconds{5'000});
        watch_.on_listed(listed(false, 1), start);
        CPPUNIT_ASSERT(watch_.take_gone(start + milliseconds{9'000}).empty());
    }

    void entry_still_missing_after_the_relist_time_is_gone() {
        watch_.set_store_reachable(false, start);
        watch_.on_missing("a", start);
        watch_.set_store_reachable(true, start + milliseconds{5'000});
        CPPUNIT_ASSERT(watch_.take_gone(start + milliseconds{6'900}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start + milliseconds{7'000}).size());
    }

    /// Guards against calls to an endpoint seconds after it reported that it is draining.
    void late_heartbeat_does_not_restore_a_draining_endpoint() {
        watch_.on_listed(listed(true, 1), start);
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), start)->draining);
    }

    void endpoint_that_starts_again_is_ready() {
        watch_.on_listed(listed(true, 1), start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 2), start)->draining);
    }

    void late_heartbeat_does_not_restore_a_removed_endpoint() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), start).has_value());
    }

    /// Guards against calls to an endpoint that is gone (DRAIN): a store that was restored from a
    /// copy lists it again, and may get what the endpoint had written before its end once more.
    void restored_entries_do_not_restore_a_removed_endpoint() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        watch_.on_store_restored(start + milliseconds{3'000});
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), start).has_value());
    }

    /// The endpoint started again under its id in the seconds that were lost.
    void restored_entry_of_former_run_does_not_replace_the_present_run() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(false, 2), start);
        watch_.on_store_restored(start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), start).has_value());
    }

    /// It started again and was removed in the seconds that were lost.
    void restored_entry_of_former_run_does_not_restore_a_removed_endpoint() {
        watch_.on_listed(listed(false, 2), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        watch_.on_store_restored(start + milliseconds{3'000});
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
    }

    /// The era is known from another call more than two seconds before the list can be read, and
    /// the restoration is reported again with that.
    void late_list_of_restored_store_does_not_restore_a_removed_endpoint() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        watch_.on_store_restored(start + milliseconds{3'000});
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(!watch_.on_listed(listed(true, 1), start));
    }

    /// Guards against an entry that was listed once since its removal, removed, and listed again.
    void endpoint_removed_after_one_listing_is_not_accepted_at_once() {
        watch_.on_listed(listed(false, 1), start);
        for (int removal = 0; removal < 2; ++removal) {
            watch_.on_missing("a", start);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
            CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        }
    }

    /// Guards against calls to an endpoint that leaves, at the address and with the adapters of its
    /// former run (DRAIN).
    void late_entry_of_former_run_does_not_replace_the_present_run() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(true, 2), start + milliseconds{5'000});
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start + milliseconds{9'800}));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), start + milliseconds{9'900})->draining);
    }

    /// Several writes of a run may be late.
    void late_entries_of_former_run_do_not_lift_what_the_present_run_said() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(false, 2), start + milliseconds{1'000});
        watch_.on_draining_reported("a", 2, start);
        for (int ms = 1'100; ms <= 7'000; ms += 100) {
            CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start + milliseconds{ms}));
        }
        CPPUNIT_ASSERT(!watch_.on_draining_reported("a", 2, start));
    }

    /// Guards against calls to an endpoint that is gone: its former run is another one than the
    /// last.
    void late_entries_of_former_run_do_not_restore_a_removed_endpoint() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(false, 2), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        for (int ms = 100; ms <= 6'000; ms += 100) {
            CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start + milliseconds{ms}));
        }
    }

    void late_entry_of_former_run_does_not_keep_a_missing_endpoint() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(false, 2), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
    }

    /// Guards against an endpoint that gets no calls since its clock was set back.
    void run_with_earlier_start_is_accepted_at_its_second_entry() {
        watch_.on_listed(listed(false, 2), start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), later(0)));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), later(1'200)).has_value());
        // From now on the other run is the former one.
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 2), later(1'300)));
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 2), later(2'300)));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), later(2'400)).has_value());
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 3), later(3'000)).has_value());
    }

    void run_with_earlier_start_is_accepted_after_a_restoration() {
        watch_.on_listed(listed(false, 2), start);
        watch_.on_store_restored(later(0));
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), later(100)));
        watch_.take_gone(later(2'000));
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), later(2'100)));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), later(3'300)).has_value());
    }

    void removed_endpoint_with_earlier_start_is_accepted_at_its_second_entry() {
        watch_.on_listed(listed(false, 2), start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch_.take_gone(start).size());
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), later(0)));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), later(1'200)).has_value());
    }

    void entries_of_two_runs_in_turn_keep_the_run_in_force() {
        watch_.on_listed(listed(false, 2), start);
        for (int ms = 0; ms < 10'000; ms += 1'200) {
            CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), later(ms)));
            CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), later(ms + 600)).has_value());
        }
    }

    /// Guards against calls to an endpoint that said that it leaves before its run was listed: its
    /// first heartbeat was written late.
    void answer_just_before_a_run_is_listed_holds_for_that_run() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_draining_reported("a", 1, start);
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), start + milliseconds{5'000})->draining);
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), start + milliseconds{6'200})->draining);
        // If it was the former run that left, the present one goes on writing heartbeats.
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), later(0))->draining);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 2), later(1'200))->draining);
    }

    void run_after_a_listed_leaving_or_a_removal_is_ready() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_draining_reported("a", 1, start);
        watch_.on_listed(listed(true, 1), start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 2), start)->draining);
        watch_.on_draining_reported("a", 2, start);
        watch_.on_missing("a", start);
        watch_.take_gone(start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 3), start)->draining);
    }

    /// Guards against an endpoint that gets no calls in its second run, which cannot be told from
    /// the first.
    void endpoint_that_starts_again_with_equal_start_is_ready_in_time() {
        watch_.on_listed(listed(true, 1), start);
        watch_.on_missing("a", start);
        watch_.take_gone(start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), start + milliseconds{4'000}));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), start + milliseconds{5'200})->draining);
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), later(0))->draining);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 1), later(1'200))->draining);
    }

    /// Guards against calls to an endpoint that leaves, whose clock was set back (DRAIN).
    void draining_of_run_with_earlier_start_is_believed() {
        watch_.on_listed(listed(false, 2), start);
        watch_.on_listed(listed(false, 1), later(0));
        watch_.on_listed(listed(false, 1), later(1'200));
        CPPUNIT_ASSERT(watch_.on_draining_reported("a", 1, later(1'300)));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), later(2'400))->draining);
    }

    void draining_entry_of_doubted_run_is_believed_for_a_while() {
        watch_.on_listed(listed(false, 2), start);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(true, 1), start));
        CPPUNIT_ASSERT(watch_.is_draining("a"));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), later(0))->draining);
        CPPUNIT_ASSERT(!watch_.on_listed(listed(false, 2), later(1'200))->draining);
    }

    void draining_of_a_later_run_does_not_lift_that_of_the_present_one() {
        watch_.on_listed(listed(true, 1), start);
        CPPUNIT_ASSERT(watch_.on_draining_reported("a", 2, start));
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), start)->draining);
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 2), start)->draining);
    }

    /// What peers tell of a run that this node has not read of yet is kept.
    void only_runs_that_were_in_force_or_are_earlier_are_former_ones() {
        CPPUNIT_ASSERT(!watch_.is_former_run("a", 1));
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(false, 2), start);
        CPPUNIT_ASSERT(watch_.is_former_run("a", 1));
        CPPUNIT_ASSERT(!watch_.is_former_run("a", 2));
        CPPUNIT_ASSERT(!watch_.is_former_run("a", 3));
    }

    /// Guards against calls to an endpoint that is gone: a late entry is all that a node that has
    /// just started knows of it (DRAIN).
    void node_that_started_since_learns_of_a_removal() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_listed(listed(false, 2), start);
        watch_.on_missing("a", start);
        watch_.take_gone(start);
        const auto removed = watch_.recently_gone(start + milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removed.size());
        CPPUNIT_ASSERT(watch_.recently_gone(later(0)).empty());

        endpoint_watch started;
        started.on_removal_told(removed.front(), start);
        CPPUNIT_ASSERT(!started.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(!started.on_listed(listed(false, 1), start));
        CPPUNIT_ASSERT(!started.on_listed(listed(false, 2), start));
        CPPUNIT_ASSERT(started.on_listed(listed(false, 3), start).has_value());
        started.on_removal_told(removed.front(), start);
        CPPUNIT_ASSERT(started.on_listed(listed(false, 3), start).has_value());
    }

    void entry_missing_from_restored_list_is_kept_until_it_is_listed_again() {
        watch_.on_listed(listed(false, 1), start);
        watch_.on_store_restored(start);
        watch_.on_missing("a", start);
        CPPUNIT_ASSERT(watch_.take_gone(start + milliseconds{1'900}).empty());
        CPPUNIT_ASSERT(watch_.on_listed(listed(false, 1), start).has_value());
        CPPUNIT_ASSERT(watch_.take_gone(start + milliseconds{2'100}).empty());
    }

private:
    /// Returns a time at which nothing is still expected that was written before `start`.
    static support::time_point later(int ms) {
        return start + endpoint_watch::late_write_time + milliseconds{ms};
    }

    static endpoint_record listed(bool draining, std::uint64_t started_ms) {
        endpoint_record record;
        record.id = "a";
        record.draining = draining;
        record.started_ms = started_ms;
        return record;
    }

    endpoint_watch watch_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_watch_test);

} // namespace
