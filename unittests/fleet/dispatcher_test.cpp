#include "dispatcher_fixture.h"

#include <chrono>
#include <string>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;

double to_ms(support::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Choice of endpoints.
class dispatcher_test : public dispatcher_fixture {
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(call_with_free_slots_goes_to_the_own_data_centre);
    CPPUNIT_TEST(adapter_ready_elsewhere_only_is_used_there);
    CPPUNIT_TEST(short_call_avoids_the_endpoint_that_prefills_a_long_prompt);
    CPPUNIT_TEST(burst_of_prompts_on_one_engine_keeps_the_event_gaps_of_its_streams_short);
    CPPUNIT_TEST(pending_prefill_of_peers_shrinks_between_their_reports);
    CPPUNIT_TEST(lead_places_calls_in_its_own_data_centre_only);
    CPPUNIT_TEST(call_waiting_at_a_full_lead_is_diverted_to_one_that_has_its_adapter);
    CPPUNIT_TEST(call_waiting_at_a_full_lead_stays_if_no_other_has_its_adapter);
    CPPUNIT_TEST(call_goes_to_the_nearest_lead_that_has_its_adapter);
    CPPUNIT_TEST(draining_endpoint_gets_no_call);
    CPPUNIT_TEST(endpoint_that_restarted_empty_has_no_adapter);
    CPPUNIT_TEST(older_version_is_not_used_once_a_newer_is_required);
    CPPUNIT_TEST(retried_call_does_not_go_to_the_same_endpoint);
    CPPUNIT_TEST(peers_calls_count_as_load);
    CPPUNIT_TEST(lost_peer_no_longer_counts_as_load);
    CPPUNIT_TEST(demand_names_the_adapters_that_calls_wait_for);
    CPPUNIT_TEST(adapter_of_a_running_call_is_reported_as_used);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_with_free_slots_goes_to_the_own_data_centre() {
        fleet_dispatcher->update(engine("far", "south"));
        fleet_dispatcher->update(engine("near", "north"));
        CPPUNIT_ASSERT_EQUAL(std::string("near"), place(generation(1)));
    }

    /// Guards against each data centre loading every adapter itself, for which it has too few
    /// slots.
    void adapter_ready_elsewhere_only_is_used_there() {
        update_without_adapter("near", "north");
        fleet_dispatcher->update(engine("far", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("far"), place(generation(1)));
    }

    /// Replays a prompt of 9,000 tokens followed by a short one.
    void short_call_avoids_the_endpoint_that_prefills_a_long_prompt() {
        fleet_dispatcher->update(engine("a", "north"));
        fleet_dispatcher->update(engine("b", "north"));
        const auto busy = place(generation(1, 9'000));
        CPPUNIT_ASSERT(busy != place(generation(2)));
    }

    /// Replays a burst of new calls on an engine whose streams stall while it prefills their
    /// prompts: engines of 38 tokens per millisecond with prompts of 3,000 tokens, and of 19 with
    /// 1,500.
    void burst_of_prompts_on_one_engine_keeps_the_event_gaps_of_its_streams_short() {
        for (const auto& [tokens_per_ms, tokens] :
             {std::pair<double, std::size_t>{38, 3'000}, {19.1, 1'500}}) {
            setUp();
            fleet_dispatcher->update(engine("a", "north"));
            learn_speed(tokens_per_ms);
            std::size_t placed = 0;
            for (std::uint64_t number = 1; number <= 4; ++number) {
                fleet_dispatcher->submit(generation(number, tokens));
                placed += fleet_dispatcher->pump(start).size();
            }
            const double prefill_ms = static_cast<double>(placed * tokens) / tokens_per_ms;
            CPPUNIT_ASSERT(prefill_ms <= to_ms(allowed_gap));
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, placed + fleet_dispatcher->waiting());
            CPPUNIT_ASSERT(placed >= 1);
        }
    }

    /// Replays a burst that reaches an engine through two nodes: the pending prefill of the other
    /// node's calls shrinks between its reports.
    void pending_prefill_of_peers_shrinks_between_their_reports() {
        fleet_dispatcher->update(engine("a", "north"));
        learn_speed(38);
        fleet_dispatcher->set_peer_load("peer", "a", {1, 9'000}, start);
        fleet_dispatcher->submit(generation(1));
        CPPUNIT_ASSERT(fleet_dispatcher->pump(start).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet_dispatcher->pump(start + milliseconds{200}).size());
    }

    void lead_places_calls_in_its_own_data_centre_only() {
        fleet_dispatcher->update(engine("far", "south"));
        auto call = generation(1);
        call.data_centre = "north";
        fleet_dispatcher->submit(call);
        CPPUNIT_ASSERT(fleet_dispatcher->pump(start).empty());
    }

    /// Replays a burst on one data centre while the engines of the other are free.
    void call_waiting_at_a_full_lead_is_diverted_to_one_that_has_its_adapter() {
        fleet_dispatcher->update(engine("near", "north"));
        fleet_dispatcher->update(engine("far", "south"));
        CPPUNIT_ASSERT(fill_as_lead().reason == refusal::elsewhere);
    }

    void call_waiting_at_a_full_lead_stays_if_no_other_has_its_adapter() {
        fleet_dispatcher->update(engine("near", "north"));
        update_without_adapter("far", "south");
        CPPUNIT_ASSERT(fill_as_lead().reason != refusal::elsewhere);
    }

    void call_goes_to_the_nearest_lead_that_has_its_adapter() {
        update_without_adapter("near", "north");
        CPPUNIT_ASSERT_EQUAL(std::string("north"),
                             fleet_dispatcher->lead_data_centre(generation(1), {}));
        fleet_dispatcher->update(engine("far", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("south"),
                             fleet_dispatcher->lead_data_centre(generation(1), {}));
        fleet_dispatcher->set_residency("near", patterns, residency::ready, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("north"),
                             fleet_dispatcher->lead_data_centre(generation(1), {}));
        CPPUNIT_ASSERT_EQUAL(std::string("south"),
                             fleet_dispatcher->lead_data_centre(generation(1), "north"));
    }

    void draining_endpoint_gets_no_call() {
        fleet_dispatcher->update(plain("a", "north"));
        fleet_dispatcher->update(plain("b", "south"));
        auto draining = plain("a", "north");
        draining.draining = true;
        fleet_dispatcher->update(draining);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place(plain_call(1)));
        fleet_dispatcher->remove("b");
        CPPUNIT_ASSERT(!fleet_dispatcher->serves("register"));
    }

    /// Guards against calls to an engine that restarted under its previous id with nothing loaded.
    void endpoint_that_restarted_empty_has_no_adapter() {
        fleet_dispatcher->update(engine("a", "north"));
        auto again = engine("a", "north");
        again.started_ms = 2;
        again.models.clear();
        fleet_dispatcher->update(again);
        fleet_dispatcher->submit(generation(1));
        CPPUNIT_ASSERT(fleet_dispatcher->pump(start).empty());
    }

    void older_version_is_not_used_once_a_newer_is_required() {
        fleet_dispatcher->update(engine("a", "north"));
        fleet_dispatcher->require_version(patterns, 2);
        fleet_dispatcher->submit(generation(1));
        CPPUNIT_ASSERT(fleet_dispatcher->pump(start).empty());
        fleet_dispatcher->set_residency("a", patterns, residency::ready, 2);
        const auto decisions = fleet_dispatcher->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, decisions.at(0).version.value());
    }

    void retried_call_does_not_go_to_the_same_endpoint() {
        fleet_dispatcher->update(plain("a", "north"));
        fleet_dispatcher->update(plain("b", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), place(plain_call(1)));
        fleet_dispatcher->retry(1);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), fleet_dispatcher->pump(start).at(0).endpoint);
    }

    void peers_calls_count_as_load() {
        fleet_dispatcher->update(plain("a", "north"));
        fleet_dispatcher->update(plain("b", "north"));
        fleet_dispatcher->set_peer_load("peer", "a", {4, 0}, start);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place(plain_call(1)));
    }

    /// Guards against slots that stay occupied after the node that used them was killed.
    void lost_peer_no_longer_counts_as_load() {
        fleet_dispatcher->update(plain("a", "north"));
        fleet_dispatcher->set_peer_load("peer", "a", {4, 0}, start);
        fleet_dispatcher->submit(plain_call(1));
        CPPUNIT_ASSERT(fleet_dispatcher->pump(start).empty());
        fleet_dispatcher->remove_peer("peer");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), fleet_dispatcher->pump(start).at(0).endpoint);
    }

    void demand_names_the_adapters_that_calls_wait_for() {
        update_without_adapter("near", "north");
        fleet_dispatcher->submit(generation(1));
        fleet_dispatcher->submit(generation(2));
        fleet_dispatcher->pump(start);
        const auto demand = fleet_dispatcher->take_demand();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demand.size());
        CPPUNIT_ASSERT(demand.front().model == patterns);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, demand.front().waiting);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), demand.front().data_centre);
    }

    /// Guards against the unload of an adapter whose stream lasts longer than the idle time.
    void adapter_of_a_running_call_is_reported_as_used() {
        fleet_dispatcher->update(engine("a", "north"));
        place(generation(1));
        fleet_dispatcher->take_used();
        CPPUNIT_ASSERT(fleet_dispatcher->take_used()["north"].contains(patterns));
        fleet_dispatcher->finish(1, start);
        CPPUNIT_ASSERT(fleet_dispatcher->take_used().empty());
    }

private:
    /// Adds an engine on which the base model is resident, but no adapter.
    void update_without_adapter(const std::string& id, const std::string& data_centre) {
        auto record = engine(id, data_centre);
        record.models = {{"base", 1, {}}};
        fleet_dispatcher->update(record);
    }

    /// Runs calls of different lengths one after the other on engines of that prefill throughput.
    void learn_speed(double tokens_per_ms) {
        constexpr double first_event_ms = 30;
        constexpr std::uint64_t first_number = 1'000;
        for (std::uint64_t i = 0; i < 40; ++i) {
            const std::size_t tokens = 200 + i * 100;
            place(generation(first_number + i, tokens));
            const auto took = std::chrono::duration<double, std::milli>(
                first_event_ms + static_cast<double>(tokens) / tokens_per_ms);
            const auto began = start + std::chrono::duration_cast<support::duration>(took);
            fleet_dispatcher->on_started(first_number + i, began);
            fleet_dispatcher->finish(first_number + i, began);
        }
    }

    /// Occupies all slots of the own data centre and returns the decision on one more call.
    dispatch_decision fill_as_lead() {
        for (std::uint64_t number = 1; number <= 5; ++number) {
            auto call = generation(number, 10);
            call.data_centre = "north";
            call.may_divert = true;
            fleet_dispatcher->submit(call);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fleet_dispatcher->pump(start).size());
        const auto due = fleet_dispatcher->next_deadline();
        CPPUNIT_ASSERT(due.has_value());
        auto decisions = fleet_dispatcher->pump(*due);
        if (decisions.empty()) {
            decisions = fleet_dispatcher->pump(start + milliseconds{500});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        return decisions.front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace
