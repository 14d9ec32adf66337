#include "dispatcher_fixture.h"

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;

/// Order of waiting calls, and rejection of calls.
class dispatcher_queue_test : public dispatcher_fixture {
    CPPUNIT_TEST_SUITE(dispatcher_queue_test);
    CPPUNIT_TEST(call_to_a_full_service_waits_for_the_next_free_slot);
    CPPUNIT_TEST(burst_on_full_service_dispatches_urgent_calls_first);
    CPPUNIT_TEST(call_behind_too_long_a_queue_is_rejected_on_arrival);
    CPPUNIT_TEST(rejected_calls_get_different_retry_after_times);
    CPPUNIT_TEST(call_without_any_endpoint_is_rejected_at_once);
    CPPUNIT_TEST(call_is_not_rejected_while_slots_are_free);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_to_a_full_service_waits_for_the_next_free_slot() {
        fill_plain_endpoint();
        fleet_dispatcher->submit(plain_call(5));
        CPPUNIT_ASSERT(fleet_dispatcher->pump(start).empty());
        fleet_dispatcher->finish(1, start);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), fleet_dispatcher->pump(start).at(0).endpoint);
    }

    /// Guards against urgent calls being served less often than less urgent ones in a burst.
    void burst_on_full_service_dispatches_urgent_calls_first() {
        fill_plain_endpoint();
        auto less_urgent = plain_call(5);
        less_urgent.priority = 2;
        fleet_dispatcher->submit(less_urgent);
        auto urgent = plain_call(6);
        urgent.arrived = start + milliseconds{100};
        urgent.objective_deadline = start + milliseconds{600};
        fleet_dispatcher->submit(urgent);
        fleet_dispatcher->finish(1, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, fleet_dispatcher->pump(start).at(0).number);
    }

    /// Replays arrivals at three times the rate at which slots become free.
    void call_behind_too_long_a_queue_is_rejected_on_arrival() {
        fleet_dispatcher->update(plain("a", "north"));
        std::uint64_t number = 0;
        std::size_t rejected = 0;
        support::duration longest_wait{};
        std::vector<std::uint64_t> running;
        for (int step = 0; step < 600; ++step) {
            const auto now = start + milliseconds{10 * step};
            fleet_dispatcher->submit(sample_call(++number, "register", now, milliseconds{250}));
            if (step % 3 == 0 && !running.empty()) {
                fleet_dispatcher->finish(running.front(), now);
                running.erase(running.begin());
            }
            for (const auto& decision : fleet_dispatcher->pump(now)) {
                if (!decision.endpoint.empty()) {
                    running.push_back(decision.number);
                    continue;
                }
                const auto arrived =
                    start + milliseconds{10 * static_cast<int>(decision.number - 1)};
                longest_wait = std::max(longest_wait, now - arrived);
                rejected += decision.reason == refusal::overloaded ? 1 : 0;
                fleet_dispatcher->finish(decision.number, now);
            }
        }
        CPPUNIT_ASSERT(rejected > 100);
        CPPUNIT_ASSERT(longest_wait <= milliseconds{260});
    }

    /// Guards against rejected calls that are all retried at the same time.
    void rejected_calls_get_different_retry_after_times() {
        fleet_dispatcher->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 12; ++number) {
            fleet_dispatcher->submit(plain_call(number));
        }
        std::vector<milliseconds> retry_afters;
        for (const auto& decision : fleet_dispatcher->pump(start + milliseconds{600})) {
            if (decision.endpoint.empty()) {
                retry_afters.push_back(decision.retry_after);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, retry_afters.size());
        std::ranges::sort(retry_afters);
        CPPUNIT_ASSERT(std::ranges::adjacent_find(retry_afters) == retry_afters.end());
        CPPUNIT_ASSERT(retry_afters.front() > milliseconds{0});
    }

    void call_without_any_endpoint_is_rejected_at_once() {
        fleet_dispatcher->submit(plain_call(1));
        const auto decisions = fleet_dispatcher->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions.front().reason == refusal::no_endpoints);
    }

    void call_is_not_rejected_while_slots_are_free() {
        fleet_dispatcher->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 200; ++number) {
            const auto now = start + milliseconds{static_cast<int>(number)};
            auto call = plain_call(number);
            call.queue_deadline = now;
            fleet_dispatcher->submit(call);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), fleet_dispatcher->pump(now).at(0).endpoint);
            fleet_dispatcher->finish(number, now);
        }
    }

private:
    /// Adds a plain endpoint and occupies its four slots with the calls 1 to 4.
    void fill_plain_endpoint() {
        fleet_dispatcher->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 4; ++number) {
            CPPUNIT_ASSERT_EQUAL(std::string("a"), place(plain_call(number)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_queue_test);

} // namespace
