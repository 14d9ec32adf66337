#include "dragonflystair/fleet/dispatcher.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

const model_name patterns{"base", "patterns"};

/// Target for the gap between events of a stream.
constexpr milliseconds allowed_gap{300};

double to_ms(support::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

endpoint_record engine(const std::string& id, const std::string& data_centre) {
    endpoint_record record;
    record.id = id;
    record.service = "assistant";
    record.address = "10.0.0.1:80";
    record.data_centre = data_centre;
    record.slots = 4;
    record.started_ms = 1;
    record.models = {{"base", 1, {{"patterns", 1}}}};
    return record;
}

endpoint_record plain(const std::string& id, const std::string& data_centre) {
    auto record = engine(id, data_centre);
    record.service = "register";
    record.models.clear();
    return record;
}

pending_call generation(std::uint64_t number, std::size_t tokens = 400) {
    pending_call call;
    call.number = number;
    call.service = "assistant";
    call.model = patterns;
    call.prompt_tokens = tokens;
    call.arrived = start;
    call.objective_deadline = start + milliseconds{500};
    call.queue_deadline = call.objective_deadline;
    return call;
}

pending_call plain_call(std::uint64_t number) {
    auto call = generation(number, 0);
    call.service = "register";
    call.model = {};
    return call;
}

/// Choice of endpoints, order of the queue, and rejection of calls.
class dispatcher_test : public CppUnit::TestFixture {
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
    CPPUNIT_TEST(call_to_a_full_service_waits_for_the_next_free_slot);
    CPPUNIT_TEST(burst_on_full_service_dispatches_urgent_calls_first);
    CPPUNIT_TEST(call_behind_too_long_a_queue_is_rejected_on_arrival);
    CPPUNIT_TEST(rejected_calls_get_different_retry_after_times);
    CPPUNIT_TEST(call_without_any_endpoint_is_rejected_at_once);
    CPPUNIT_TEST(call_is_not_rejected_while_slots_are_free);
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
    void setUp() override {
        topology layout("north", {{"north", "n"}, {"south", "s"}});
        dispatcher_ = std::make_unique<dispatcher>(layout);
        configuration current;
        service assistant;
        assistant.name = "assistant";
        assistant.has_engines = true;
        assistant.engines.batch_slots = 4;
        service registry;
        registry.name = "register";
        current.services = {{"assistant", assistant}, {"register", registry}};
        route stream_route;
        stream_route.kind = call_kind::stream;
        stream_route.max_event_gap = allowed_gap;
        stream_route.services = {{"assistant", 1}};
        current.routes = {stream_route};
        dispatcher_->configure(current);
    }

    void call_with_free_slots_goes_to_the_own_data_centre() {
        dispatcher_->update(engine("far", "south"));
        dispatcher_->update(engine("near", "north"));
        CPPUNIT_ASSERT_EQUAL(std::string("near"), place(generation(1)));
    }

    /// Guards against each data centre loading every adapter itself, for which it has too few
    /// slots.
    void adapter_ready_elsewhere_only_is_used_there() {
        auto near = engine("near", "north");
        near.models = {{"base", 1, {}}};
        dispatcher_->update(near);
        dispatcher_->update(engine("far", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("far"), place(generation(1)));
    }

    /// Replays a prompt of 9,000 tokens followed by a short one.
    void short_call_avoids_the_endpoint_that_prefills_a_long_prompt() {
        dispatcher_->update(engine("a", "north"));
        dispatcher_->update(engine("b", "north"));
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
            dispatcher_->update(engine("a", "north"));
            learn_speed(tokens_per_ms);
            std::size_t placed = 0;
            for (std::uint64_t number = 1; number <= 4; ++number) {
                dispatcher_->submit(generation(number, tokens));
                placed += dispatcher_->pump(start).size();
            }
            const double prefill_ms = static_cast<double>(placed * tokens) / tokens_per_ms;
            CPPUNIT_ASSERT(prefill_ms <= to_ms(allowed_gap));
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, placed + dispatcher_->waiting());
            CPPUNIT_ASSERT(placed >= 1);
        }
    }

    /// Replays a burst that reaches an engine through two nodes: the pending prefill of the other
    /// node's calls shrinks between its reports.
    void pending_prefill_of_peers_shrinks_between_their_reports() {
        dispatcher_->update(engine("a", "north"));
        learn_speed(38);
        dispatcher_->set_peer_load("peer", "a", {1, 9'000}, start);
        dispatcher_->submit(generation(1));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher_->pump(start + milliseconds{200}).size());
    }

    void lead_places_calls_in_its_own_data_centre_only() {
        dispatcher_->update(engine("far", "south"));
        auto call = generation(1);
        call.data_centre = "north";
        dispatcher_->submit(call);
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
    }

    /// Replays a burst on one data centre while the engines of the other are free.
    void call_waiting_at_a_full_lead_is_diverted_to_one_that_has_its_adapter() {
        dispatcher_->update(engine("near", "north"));
        dispatcher_->update(engine("far", "south"));
        CPPUNIT_ASSERT(fill_as_lead().reason == refusal::elsewhere);
    }

    void call_waiting_at_a_full_lead_stays_if_no_other_has_its_adapter() {
        dispatcher_->update(engine("near", "north"));
        auto far = engine("far", "south");
        far.models = {{"base", 1, {}}};
        dispatcher_->update(far);
        CPPUNIT_ASSERT(fill_as_lead().reason != refusal::elsewhere);
    }

    void call_goes_to_the_nearest_lead_that_has_its_adapter() {
        auto near = engine("near", "north");
        near.models = {{"base", 1, {}}};
        dispatcher_->update(near);
        CPPUNIT_ASSERT_EQUAL(std::string("north"),
                             dispatcher_->lead_data_centre(generation(1), {}));
        dispatcher_->update(engine("far", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("south"),
                             dispatcher_->lead_data_centre(generation(1), {}));
        dispatcher_->set_residency("near", patterns, residency::ready, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("north"),
                             dispatcher_->lead_data_centre(generation(1), {}));
        CPPUNIT_ASSERT_EQUAL(std::string("south"),
                             dispatcher_->lead_data_centre(generation(1), "north"));
    }

    void call_to_a_full_service_waits_for_the_next_free_slot() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 4; ++number) {
            CPPUNIT_ASSERT_EQUAL(std::string("a"), place(plain_call(number)));
        }
        dispatcher_->submit(plain_call(5));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        dispatcher_->finish(1, start);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), dispatcher_->pump(start).at(0).endpoint);
    }

    /// Guards against urgent calls being served less often than less urgent ones in a burst.
    void burst_on_full_service_dispatches_urgent_calls_first() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 4; ++number) {
            place(plain_call(number));
        }
        auto less_urgent = plain_call(5);
        less_urgent.priority = 2;
        dispatcher_->submit(less_urgent);
        auto urgent = plain_call(6);
        urgent.arrived = start + milliseconds{100};
        urgent.objective_deadline = start + milliseconds{600};
        dispatcher_->submit(urgent);
        dispatcher_->finish(1, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, dispatcher_->pump(start).at(0).number);
    }

    /// Replays arrivals at three times the rate at which slots become free.
    void call_behind_too_long_a_queue_is_rejected_on_arrival() {
        dispatcher_->update(plain("a", "north"));
        std::uint64_t number = 0;
        std::size_t rejected = 0;
        support::duration longest_wait{};
        std::vector<std::uint64_t> running;
        for (int step = 0; step < 600; ++step) {
            const auto now = start + milliseconds{10 * step};
            auto call = plain_call(++number);
            call.arrived = now;
            call.objective_deadline = now + milliseconds{250};
            call.queue_deadline = call.objective_deadline;
            dispatcher_->submit(call);
            if (step % 3 == 0 && !running.empty()) {
                dispatcher_->finish(running.front(), now);
                running.erase(running.begin());
            }
            for (const auto& decision : dispatcher_->pump(now)) {
                if (!decision.endpoint.empty()) {
                    running.push_back(decision.number);
                    continue;
                }
                const auto arrived =
                    start + milliseconds{10 * static_cast<int>(decision.number - 1)};
                longest_wait = std::max(longest_wait, now - arrived);
                rejected += decision.reason == refusal::overloaded ? 1 : 0;
                dispatcher_->finish(decision.number, now);
            }
        }
        CPPUNIT_ASSERT(rejected > 100);
        CPPUNIT_ASSERT(longest_wait <= milliseconds{260});
    }

    /// Guards against rejected calls that are all retried at the same time.
    void rejected_calls_get_different_retry_after_times() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 12; ++number) {
            dispatcher_->submit(plain_call(number));
        }
        std::vector<milliseconds> retry_afters;
        for (const auto& decision : dispatcher_->pump(start + milliseconds{600})) {
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
        dispatcher_->submit(plain_call(1));
        const auto decisions = dispatcher_->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions.front().reason == refusal::no_endpoints);
    }

    void call_is_not_rejected_while_slots_are_free() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 200; ++number) {
            const auto now = start + milliseconds{static_cast<int>(number)};
            auto call = plain_call(number);
            call.queue_deadline = now;
            dispatcher_->submit(call);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), dispatcher_->pump(now).at(0).endpoint);
            dispatcher_->finish(number, now);
        }
    }

    void draining_endpoint_gets_no_call() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->update(plain("b", "south"));
        auto draining = plain("a", "north");
        draining.draining = true;
        dispatcher_->update(draining);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place(plain_call(1)));
        dispatcher_->remove("b");
        CPPUNIT_ASSERT(!dispatcher_->serves("register"));
    }

    /// Guards against calls to an engine that restarted under its previous id with nothing loaded.
    void endpoint_that_restarted_empty_has_no_adapter() {
        dispatcher_->update(engine("a", "north"));
        auto again = engine("a", "north");
        again.started_ms = 2;
        again.models.clear();
        dispatcher_->update(again);
        dispatcher_->submit(generation(1));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
    }

    void older_version_is_not_used_once_a_newer_is_required() {
        dispatcher_->update(engine("a", "north"));
        dispatcher_->require_version(patterns, 2);
        dispatcher_->submit(generation(1));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        dispatcher_->set_residency("a", patterns, residency::ready, 2);
        const auto decisions = dispatcher_->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, decisions.at(0).version.value());
    }

    void retried_call_does_not_go_to_the_same_endpoint() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->update(plain("b", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), place(plain_call(1)));
        dispatcher_->retry(1);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), dispatcher_->pump(start).at(0).endpoint);
    }

    void peers_calls_count_as_load() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->update(plain("b", "north"));
        dispatcher_->set_peer_load("peer", "a", {4, 0}, start);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place(plain_call(1)));
    }

    /// Guards against slots that stay occupied after the node that used them was killed.
    void lost_peer_no_longer_counts_as_load() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->set_peer_load("peer", "a", {4, 0}, start);
        dispatcher_->submit(plain_call(1));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        dispatcher_->remove_peer("peer");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), dispatcher_->pump(start).at(0).endpoint);
    }

    void demand_names_the_adapters_that_calls_wait_for() {
        auto near = engine("near", "north");
        near.models = {{"base", 1, {}}};
        dispatcher_->update(near);
        dispatcher_->submit(generation(1));
        dispatcher_->submit(generation(2));
        dispatcher_->pump(start);
        const auto demand = dispatcher_->take_demand();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demand.size());
        CPPUNIT_ASSERT(demand.front().model == patterns);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, demand.front().waiting);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), demand.front().data_centre);
    }

    /// Guards against the unload of an adapter whose stream lasts longer than the idle time.
    void adapter_of_a_running_call_is_reported_as_used() {
        dispatcher_->update(engine("a", "north"));
        place(generation(1));
        dispatcher_->take_used();
        CPPUNIT_ASSERT(dispatcher_->take_used()["north"].contains(patterns));
        dispatcher_->finish(1, start);
        CPPUNIT_ASSERT(dispatcher_->take_used().empty());
    }

private:
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
            dispatcher_->on_started(first_number + i, began);
            dispatcher_->finish(first_number + i, began);
        }
    }

    /// Occupies all slots of the own data centre and returns the decision on one more call.
    dispatch_decision fill_as_lead() {
        for (std::uint64_t number = 1; number <= 5; ++number) {
            auto call = generation(number, 10);
            call.data_centre = "north";
            call.may_divert = true;
            dispatcher_->submit(call);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, dispatcher_->pump(start).size());
        const auto due = dispatcher_->next_deadline();
        CPPUNIT_ASSERT(due.has_value());
        auto decisions = dispatcher_->pump(*due);
        if (decisions.empty()) {
            decisions = dispatcher_->pump(start + milliseconds{500});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        return decisions.front();
    }

    std::string place(pending_call call) {
        const auto number = call.number;
        dispatcher_->submit(std::move(call));
        for (const auto& decision : dispatcher_->pump(start)) {
            if (decision.number == number) {
                return decision.endpoint;
            }
        }
        return {};
    }

    std::unique_ptr<dispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

} // namespace
