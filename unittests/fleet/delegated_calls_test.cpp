#include "dragonflystair/fleet/delegated_calls.h"

#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

pending_call generation(std::uint64_t number) {
    return sample_call(number, "assistant", start, milliseconds{600});
}

/// Calls whose placement is delegated to another node.
class delegated_calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(delegated_calls_test);
    CPPUNIT_TEST(call_whose_lead_does_not_answer_returns_well_before_its_objective);
    CPPUNIT_TEST(call_queued_by_its_lead_does_not_return_before_its_deadline);
    CPPUNIT_TEST(queued_call_without_a_final_answer_returns_after_its_deadline);
    CPPUNIT_TEST(call_to_a_lost_lead_returns_at_once);
    CPPUNIT_TEST(placed_call_does_not_return);
    CPPUNIT_TEST(late_placement_of_a_returned_call_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays a lead that is suspended while its links stay open.
    void call_whose_lead_does_not_answer_returns_well_before_its_objective() {
        calls_.add(generation(1), "lead", "north", true, start);
        CPPUNIT_ASSERT(calls_.take_overdue(start).empty());
        CPPUNIT_ASSERT(*calls_.next_due() <= start + milliseconds{200});
        const auto returned = calls_.take_overdue(*calls_.next_due());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, returned.size());
        CPPUNIT_ASSERT_EQUAL(std::string("lead"), returned.front().lead);
        CPPUNIT_ASSERT(!calls_.contains(1));
    }

    void call_queued_by_its_lead_does_not_return_before_its_deadline() {
        calls_.add(generation(1), "lead", "north", false, start);
        calls_.on_waiting(1);
        CPPUNIT_ASSERT(calls_.take_overdue(start + milliseconds{599}).empty());
    }

    void queued_call_without_a_final_answer_returns_after_its_deadline() {
        calls_.add(generation(1), "lead", "north", false, start);
        calls_.on_waiting(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls_.take_overdue(start + milliseconds{700}).size());
    }

    void call_to_a_lost_lead_returns_at_once() {
        calls_.add(generation(1), "lead", "north", false, start);
        calls_.add(generation(2), "other", "south", false, start);
        const auto returned = calls_.take_lost("lead");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, returned.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, returned.front().call.number);
        CPPUNIT_ASSERT(calls_.contains(2));
    }

    /// Guards against a second placement of a dispatched call when its lead terminates.
    void placed_call_does_not_return() {
        calls_.add(generation(1), "lead", "north", false, start);
        CPPUNIT_ASSERT(calls_.on_placed(1, "engine"));
        CPPUNIT_ASSERT(calls_.take_lost("lead").empty());
        CPPUNIT_ASSERT(calls_.take_overdue(start + std::chrono::hours{1}).empty());
        CPPUNIT_ASSERT(!calls_.next_due());
        CPPUNIT_ASSERT_EQUAL(std::string("engine"), calls_.endpoint_of(1));
    }

    /// Guards against a call that runs twice, on the endpoint of a late lead and on the node's own
    /// choice.
    void late_placement_of_a_returned_call_is_rejected() {
        calls_.add(generation(1), "lead", "north", false, start);
        calls_.take_overdue(start + milliseconds{500});
        CPPUNIT_ASSERT(!calls_.on_placed(1, "engine"));
    }

private:
    delegated_calls calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(delegated_calls_test);

} // namespace
