#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::seconds;

/// What a dispatcher has learnt of an endpoint that restarts under its id.
class restarted_endpoint_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(restarted_endpoint_test);
    CPPUNIT_TEST(failures_of_former_run_do_not_count_against_the_present_one);
    CPPUNIT_TEST(late_start_of_call_on_former_run_is_no_sample_of_the_present_one);
    CPPUNIT_TEST(late_records_in_any_order_do_not_remove_a_model);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        dispatcher_.configure(sample_configuration(slots));
        dispatcher_.update(plain("a", 1));
        dispatcher_.update(plain("b", 1));
    }

    /// Guards against an endpoint that is avoided for ten seconds after a crash.
    void failures_of_former_run_do_not_count_against_the_present_one() {
        for (int failure = 0; failure < 5; ++failure) {
            dispatcher_.on_failed("a", start);
        }
        dispatcher_.update(plain("a", 2));
        CPPUNIT_ASSERT(placed_on("a") >= slots / 4);
    }

    void late_start_of_call_on_former_run_is_no_sample_of_the_present_one() {
        for (std::uint64_t number = 100; number < 100 + slots; ++number) {
            dispatcher_.submit(sample_call(number, "register", start, seconds{3}));
        }
        const auto decisions = dispatcher_.pump(start);
        dispatcher_.update(plain("a", 2));
        for (const auto& decision : decisions) {
            if (decision.endpoint == "a") {
                dispatcher_.on_started(decision.number, start + seconds{2});
            }
        }
        for (const auto& decision : decisions) {
            dispatcher_.finish(decision.number, start + seconds{2});
        }
        CPPUNIT_ASSERT(placed_on("a") >= slots / 4);
    }

    /// Guards against calls for a model that wait although an engine has it: of two late records
    /// the second one is newer than the first, and both are older than what is known.
    void late_records_in_any_order_do_not_remove_a_model() {
        auto record = sample_endpoint("engine", "assistant", slots);
        record.models = {{"base", 1, {}}};
        record.orders_accepted = 10;
        dispatcher_.update(record);
        record.models.clear();
        for (const std::uint64_t orders : {5, 7}) {
            record.orders_accepted = orders;
            dispatcher_.update(record);
        }
        auto call = sample_call(1, "assistant", start, seconds{3});
        call.model = {"base", {}};
        dispatcher_.submit(call);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher_.pump(start).size());
    }

private:
    static constexpr std::size_t slots = 8;

    static endpoint_record plain(const std::string& id, std::uint64_t started_ms) {
        auto record = sample_endpoint(id, "register", slots);
        record.started_ms = started_ms;
        return record;
    }

    /// Returns how many of as many calls as an endpoint has slots are placed on an endpoint.
    std::size_t placed_on(const std::string& id) {
        for (std::uint64_t number = 1; number <= slots; ++number) {
            dispatcher_.submit(sample_call(number, "register", start + seconds{2}, seconds{3}));
        }
        const auto decisions = dispatcher_.pump(start + seconds{2});
        CPPUNIT_ASSERT_EQUAL(slots, decisions.size());
        return static_cast<std::size_t>(
            std::ranges::count(decisions, id, &dispatch_decision::endpoint));
    }

    dispatcher dispatcher_{topology("north", {{"north", "n"}})};
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_endpoint_test);

} // namespace
