#include "dragonflystair/fleet/adapter_planner.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/endpoint_backoff.h"
#include "dragonflystair/fleet/endpoint_watch.h"

#include "adapter_planner_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t first_run = 1;
constexpr std::uint64_t second_run = 2;
/// Requests that an endpoint receives within this time after its rejection are not counted.
constexpr milliseconds grace{500};

/// Backoff from endpoints that rejected a request with a Retry-After.
class endpoint_backoff_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_backoff_test);
    CPPUNIT_TEST(burst_of_calls_is_withheld_until_the_backoff_ends);
    CPPUNIT_TEST(longer_later_backoff_extends_the_pause);
    CPPUNIT_TEST(shorter_backoff_of_an_older_request_is_ignored);
    CPPUNIT_TEST(shorter_backoff_of_a_later_request_shortens_the_pause);
    CPPUNIT_TEST(restarted_endpoint_has_no_backoff);
    CPPUNIT_TEST(rejection_just_before_a_run_is_listed_holds_for_it);
    CPPUNIT_TEST(long_backoff_holds_for_seconds_after_a_run_is_listed);
    CPPUNIT_TEST(backoff_beyond_a_day_ends_after_a_day);
    CPPUNIT_TEST(nodes_return_at_different_times);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Replays a call every 10 ms for five seconds to an endpoint that rejects all calls with a
    /// Retry-After of two seconds. At most two may reach it between half a second after an answer
    /// and the end of its Retry-After.
    void burst_of_calls_is_withheld_until_the_backoff_ends() {
        std::optional<support::time_point> answered;
        std::size_t within = 0;
        std::size_t sent = 0;
        for (auto now = start; now < start + seconds{5}; now += milliseconds{10}) {
            if (!backoff_.allows("a", first_run, now)) {
                continue;
            }
            ++sent;
            if (answered && now >= *answered + grace && now < *answered + seconds{2}) {
                ++within;
            }
            backoff_.on_refused("a", first_run, seconds{2}, now, now);
            answered = now;
        }
        CPPUNIT_ASSERT(within <= 2);
        CPPUNIT_ASSERT(sent >= 2);
    }

    void longer_later_backoff_extends_the_pause() {
        backoff_.on_refused("a", first_run, seconds{1}, start, start);
        CPPUNIT_ASSERT(backoff_.on_refused("a", first_run, seconds{4}, start, start));
        CPPUNIT_ASSERT(!backoff_.allows("a", first_run, start + seconds{3}));
    }

    void shorter_backoff_of_an_older_request_is_ignored() {
        backoff_.on_refused("a", first_run, seconds{4}, start, start + milliseconds{50});
        CPPUNIT_ASSERT(!backoff_.on_refused("a", first_run, seconds{1}, start + milliseconds{10},
                                            start + milliseconds{60}));
        CPPUNIT_ASSERT(!backoff_.allows("a", first_run, start + seconds{3}));
    }

    void shorter_backoff_of_a_later_request_shortens_the_pause() {
        backoff_.on_refused("a", first_run, seconds{4}, start, start);
        CPPUNIT_ASSERT(backoff_.on_refused("a", first_run, seconds{1}, start + milliseconds{10},
                                           start + milliseconds{20}));
        CPPUNIT_ASSERT(backoff_.allows("a", first_run, start + seconds{2}));
    }

    void restarted_endpoint_has_no_backoff() {
        backoff_.on_refused("a", first_run, seconds{4}, start, start);
        CPPUNIT_ASSERT(backoff_.allows("a", second_run, start + milliseconds{1}));
    }

    /// Guards against calls to an endpoint that has restarted and rejects calls before its run is
    /// listed (BUDGET).
    void rejection_just_before_a_run_is_listed_holds_for_it() {
        backoff_.on_refused("a", first_run, seconds{4}, start, start);
        CPPUNIT_ASSERT(
            backoff_.on_run_listed("a", first_run, second_run, start + milliseconds{600}));
        CPPUNIT_ASSERT(!backoff_.allows("a", second_run, start + seconds{3}));
        CPPUNIT_ASSERT(backoff_.allows("a", second_run, start + seconds{5}));
    }

    /// Guards against an endpoint that stays out of use for what its former run said.
    void long_backoff_holds_for_seconds_after_a_run_is_listed() {
        backoff_.on_refused("a", first_run, std::chrono::hours{1}, start, start);
        backoff_.on_run_listed("a", first_run, second_run, start + milliseconds{600});
        CPPUNIT_ASSERT(!backoff_.allows("a", second_run, start + seconds{7}));
        CPPUNIT_ASSERT(backoff_.allows("a", second_run, start + seconds{9}));
        backoff_.on_refused("b", first_run, std::chrono::hours{1}, start, start);
        CPPUNIT_ASSERT(!backoff_.on_run_listed("b", first_run, second_run, start + seconds{9}));
    }

    void backoff_beyond_a_day_ends_after_a_day() {
        backoff_.on_refused("a", first_run, std::chrono::hours{48}, start, start);
        CPPUNIT_ASSERT(backoff_.allows("a", first_run, start + std::chrono::hours{25}));
    }

    void nodes_return_at_different_times() {
        std::set<support::time_point> ends;
        for (int node = 0; node < 20; ++node) {
            endpoint_backoff other("node-" + std::to_string(node));
            ends.insert(*other.on_refused("a", first_run, seconds{1}, start, start));
        }
        CPPUNIT_ASSERT(ends.size() >= 10);
    }

private:
    endpoint_backoff backoff_{"node-1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_backoff_test);

/// Draining that an endpoint reports in an answer.
class endpoint_draining_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_draining_test);
    CPPUNIT_TEST(draining_answer_overrides_the_list);
    CPPUNIT_TEST(draining_answer_of_a_previous_run_is_ignored);
    CPPUNIT_TEST(draining_answer_before_the_entry_is_kept);
    CPPUNIT_TEST(draining_answer_is_new_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void draining_answer_overrides_the_list() {
        watch_.on_listed(listed(first_run), start);
        CPPUNIT_ASSERT(watch_.on_draining_reported("a", first_run, start));
        CPPUNIT_ASSERT(watch_.on_listed(listed(first_run), start)->draining);
    }

    void draining_answer_of_a_previous_run_is_ignored() {
        watch_.on_listed(listed(second_run), start);
        CPPUNIT_ASSERT(!watch_.on_draining_reported("a", first_run, start));
        CPPUNIT_ASSERT(!watch_.on_listed(listed(second_run), start)->draining);
    }

    void draining_answer_before_the_entry_is_kept() {
        CPPUNIT_ASSERT(watch_.on_draining_reported("a", first_run, start));
        CPPUNIT_ASSERT(watch_.on_listed(listed(first_run), start)->draining);
    }

    void draining_answer_is_new_once() {
        watch_.on_listed(listed(first_run), start);
        CPPUNIT_ASSERT(watch_.on_draining_reported("a", first_run, start));
        CPPUNIT_ASSERT(!watch_.on_draining_reported("a", first_run, start));
    }

private:
    static endpoint_record listed(std::uint64_t started_ms) {
        endpoint_record record;
        record.id = "a";
        record.started_ms = started_ms;
        return record;
    }

    endpoint_watch watch_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_draining_test);

/// Dispatch and placement while an endpoint is draining or in backoff.
class endpoint_notice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_test);
    CPPUNIT_TEST(draining_endpoint_gets_no_new_call);
    CPPUNIT_TEST(paused_endpoint_gets_no_call_while_another_is_free);
    CPPUNIT_TEST(call_is_rejected_at_once_when_all_pauses_exceed_its_deadline);
    CPPUNIT_TEST(call_waits_for_a_pause_that_ends_in_time);
    CPPUNIT_TEST(load_ramps_up_gradually_after_a_pause);
    CPPUNIT_TEST(adapter_on_a_paused_engine_counts_as_missing);
    CPPUNIT_TEST(planner_loads_the_adapter_of_a_paused_engine_elsewhere);
    CPPUNIT_TEST(planner_loads_the_adapter_of_a_draining_engine_elsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        const auto current = planned_configuration(slots);
        dispatcher_ = std::make_unique<dispatcher>(topology("north", {{"north", "n"}}));
        dispatcher_->configure(current);
        planner_ = std::make_unique<adapter_planner>();
        planner_->configure(current);
        for (const auto* name : {"a", "b"}) {
            dispatcher_->update(engine(name));
            planner_->update(engine(name));
        }
    }

    void draining_endpoint_gets_no_new_call() {
        dispatcher_->set_draining("a");
        CPPUNIT_ASSERT(dispatch(2, start) == std::vector<std::string>({"b", "b"}));
        CPPUNIT_ASSERT(dispatcher_->find("a") == nullptr || dispatcher_->find("a")->draining);
    }

    void paused_endpoint_gets_no_call_while_another_is_free() {
        dispatcher_->pause("a", start + seconds{5});
        CPPUNIT_ASSERT(dispatch(3, start) == std::vector<std::string>({"b", "b", "b"}));
    }

    /// A call that cannot be served is rejected on arrival, with the time until capacity is
    /// available.
    void call_is_rejected_at_once_when_all_pauses_exceed_its_deadline() {
        dispatcher_->pause("a", start + seconds{9});
        dispatcher_->pause("b", start + seconds{5});
        dispatcher_->submit(call(1));
        const auto decisions = dispatcher_->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions.front().reason == refusal::paused);
        CPPUNIT_ASSERT(decisions.front().retry_after >= seconds{5});
    }

    void call_waits_for_a_pause_that_ends_in_time() {
        dispatcher_->pause("a", start + seconds{5});
        dispatcher_->pause("b", start + milliseconds{300});
        dispatcher_->submit(call(1));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        const auto decisions = dispatcher_->pump(start + milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), decisions.at(0).endpoint);
    }

    /// Replays calls that wait for the end of the backoff from an overloaded endpoint.
    void load_ramps_up_gradually_after_a_pause() {
        dispatcher_->set_draining("b");
        dispatcher_->pause("a", start + milliseconds{200});
        const auto first = dispatch(slots, start + milliseconds{200}).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first);
        const auto next = dispatcher_->pump(start + milliseconds{450}).size();
        CPPUNIT_ASSERT(first + next <= slots / 2);
        const auto rest = dispatcher_->pump(start + seconds{2}).size();
        CPPUNIT_ASSERT_EQUAL(slots, first + next + rest);
    }

    void adapter_on_a_paused_engine_counts_as_missing() {
        dispatcher_->set_residency("a", rare_, residency::ready, 1);
        dispatcher_->pause("a", start + seconds{5});
        auto wanted = call(1);
        wanted.model = rare_;
        dispatcher_->submit(wanted);
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        CPPUNIT_ASSERT(dispatcher_->take_demand().at(0).model == rare_);
    }

    void planner_loads_the_adapter_of_a_paused_engine_elsewhere() {
        planner_->update(engine("c", true));
        planner_->pause("c", start + seconds{5});
        CPPUNIT_ASSERT(load_order().endpoint != "c");
    }

    void planner_loads_the_adapter_of_a_draining_engine_elsewhere() {
        planner_->update(engine("c", true));
        planner_->set_draining("c");
        CPPUNIT_ASSERT(load_order().endpoint != "c");
    }

private:
    static constexpr std::size_t slots = 8;
    const model_name rare_{"base", "rare"};

    static endpoint_record engine(const std::string& id, bool has_rare = false) {
        auto record = sample_endpoint(id, "assistant", slots);
        record.started_ms = first_run;
        record.models = {{"base", 1, {}}};
        if (has_rare) {
            record.models.front().adapters = {{"rare", 1}};
        }
        return record;
    }

    static pending_call call(std::uint64_t number) {
        auto made = sample_call(number, "assistant", start, seconds{3});
        made.model = {"base", {}};
        return made;
    }

    /// Returns the endpoints of that number of simultaneous calls.
    std::vector<std::string> dispatch(std::size_t calls, support::time_point now) {
        for (std::size_t number = 1; number <= calls; ++number) {
            dispatcher_->submit(call(number));
        }
        std::vector<std::string> result;
        for (const auto& decision : dispatcher_->pump(now)) {
            result.push_back(decision.endpoint);
        }
        return result;
    }

    planned_order load_order() {
        planner_->on_demand({rare_, "north", 1, 0, 0, {}}, start);
        const auto orders = planner_->plan(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(orders.front().kind == order_kind::load);
        return orders.front();
    }

    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<adapter_planner> planner_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_test);

} // namespace
