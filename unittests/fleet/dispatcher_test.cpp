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

/// Longest pause between events of a stream that is on time.
constexpr milliseconds allowed_pause{300};

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

pending_call stamp(std::uint64_t number) {
    auto call = generation(number, 0);
    call.service = "register";
    call.model = {};
    return call;
}

/// Where calls run, how they wait and which are refused.
class dispatcher_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(call_with_free_places_goes_to_the_own_data_centre);
    CPPUNIT_TEST(adapter_ready_elsewhere_only_is_used_there);
    CPPUNIT_TEST(short_call_avoids_the_endpoint_that_reads_a_long_prompt);
    CPPUNIT_TEST(burst_of_prompts_on_one_engine_keeps_the_pauses_of_its_streams_short);
    CPPUNIT_TEST(prompts_of_peers_are_read_between_their_reports);
    CPPUNIT_TEST(lead_places_calls_in_its_own_data_centre_only);
    CPPUNIT_TEST(call_waiting_at_a_full_lead_passes_to_one_that_has_its_adapter);
    CPPUNIT_TEST(call_waiting_at_a_full_lead_stays_if_no_other_has_its_adapter);
    CPPUNIT_TEST(call_goes_to_the_nearest_lead_that_has_its_adapter);
    CPPUNIT_TEST(full_service_makes_calls_wait_for_the_next_free_place);
    CPPUNIT_TEST(burst_on_full_service_keeps_urgent_calls_first);
    CPPUNIT_TEST(call_behind_too_long_a_queue_is_refused_on_arrival);
    CPPUNIT_TEST(refused_calls_are_told_to_return_at_different_times);
    CPPUNIT_TEST(call_without_any_endpoint_is_refused_at_once);
    CPPUNIT_TEST(call_is_not_refused_while_places_are_free);
    CPPUNIT_TEST(leaving_endpoint_gets_no_call);
    CPPUNIT_TEST(returning_endpoint_restarted_empty_has_no_adapter);
    CPPUNIT_TEST(older_version_is_not_used_once_a_newer_is_required);
    CPPUNIT_TEST(retried_call_does_not_go_to_the_same_endpoint);
    CPPUNIT_TEST(peers_calls_count_as_load);
    CPPUNIT_TEST(lost_peer_no_longer_counts_as_load);
    CPPUNIT_TEST(demand_names_the_adapters_that_calls_wait_for);
    CPPUNIT_TEST(adapter_of_a_running_call_is_reported_as_used);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        topology places("north", {{"north", "n"}, {"south", "s"}});
        dispatcher_ = std::make_unique<dispatcher>(places);
        configuration current;
        service assistant;
        assistant.name = "assistant";
        assistant.has_engines = true;
        assistant.engines.batch_slots = 4;
        service registry;
        registry.name = "register";
        current.services = {{"assistant", assistant}, {"register", registry}};
        route drafts;
        drafts.kind = call_kind::stream;
        drafts.max_event_gap = allowed_pause;
        drafts.services = {{"assistant", 1}};
        current.routes = {drafts};
        dispatcher_->configure(current);
    }

    void call_with_free_places_goes_to_the_own_data_centre() {
        dispatcher_->update(engine("far", "south"));
        dispatcher_->update(engine("near", "north"));
        CPPUNIT_ASSERT_EQUAL(std::string("near"), place(generation(1)));
    }

    /// Guards against each data centre loading every adapter for itself, which its few places
    /// cannot hold.
    void adapter_ready_elsewhere_only_is_used_there() {
        auto near = engine("near", "north");
        near.models = {{"base", 1, {}}};
        dispatcher_->update(near);
        dispatcher_->update(engine("far", "south"));
        CPPUNIT_ASSERT_EQUAL(std::string("far"), place(generation(1)));
    }

    /// Replays a dossier of 9,000 tokens followed by a quick question.
    void short_call_avoids_the_endpoint_that_reads_a_long_prompt() {
        dispatcher_->update(engine("a", "north"));
        dispatcher_->update(engine("b", "north"));
        const auto busy = place(generation(1, 9'000));
        CPPUNIT_ASSERT(busy != place(generation(2)));
    }

    /// Replays a burst of new calls on an engine whose streams pause while it reads their prompts:
    /// engines of 38 tokens in a millisecond with prompts of 3,000 tokens, and of 19 with 1,500.
    void burst_of_prompts_on_one_engine_keeps_the_pauses_of_its_streams_short() {
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
            CPPUNIT_ASSERT(prefill_ms <= to_ms(allowed_pause));
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, placed + dispatcher_->waiting());
            CPPUNIT_ASSERT(placed >= 1);
        }
    }

    /// Replays a wave that reaches an engine through two nodes: what the other node's calls still
    /// have to read shrinks between its reports.
    void prompts_of_peers_are_read_between_their_reports() {
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

    /// Replays a wave on one data centre while the other one's engines are free.
    void call_waiting_at_a_full_lead_passes_to_one_that_has_its_adapter() {
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

    void full_service_makes_calls_wait_for_the_next_free_place() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 4; ++number) {
            CPPUNIT_ASSERT_EQUAL(std::string("a"), place(stamp(number)));
        }
        dispatcher_->submit(stamp(5));
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        dispatcher_->finish(1, start);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), dispatcher_->pump(start).at(0).endpoint);
    }

    /// Guards against urgent calls being served less often than less urgent ones in a burst.
    void burst_on_full_service_keeps_urgent_calls_first() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 4; ++number) {
            place(stamp(number));
        }
        auto less_urgent = stamp(5);
        less_urgent.priority = 2;
        dispatcher_->submit(less_urgent);
        auto urgent = stamp(6);
        urgent.arrived = start + milliseconds{100};
        urgent.objective_deadline = start + milliseconds{600};
        dispatcher_->submit(urgent);
        dispatcher_->finish(1, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, dispatcher_->pump(start).at(0).number);
    }

    /// Replays arrivals at three times the rate at which places become free.
    void call_behind_too_long_a_queue_is_refused_on_arrival() {
        dispatcher_->update(plain("a", "north"));
        std::uint64_t number = 0;
        std::size_t refused = 0;
        support::duration longest_wait{};
        std::vector<std::uint64_t> running;
        for (int step = 0; step < 600; ++step) {
            const auto now = start + milliseconds{10 * step};
            auto call = stamp(++number);
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
                refused += decision.reason == refusal::overloaded ? 1 : 0;
                dispatcher_->finish(decision.number, now);
            }
        }
        CPPUNIT_ASSERT(refused > 100);
        CPPUNIT_ASSERT(longest_wait <= milliseconds{260});
    }

    /// Guards against those sent away coming back together.
    void refused_calls_are_told_to_return_at_different_times() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 12; ++number) {
            dispatcher_->submit(stamp(number));
        }
        std::vector<milliseconds> returns;
        for (const auto& decision : dispatcher_->pump(start + milliseconds{600})) {
            if (decision.endpoint.empty()) {
                returns.push_back(decision.retry_after);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, returns.size());
        std::ranges::sort(returns);
        CPPUNIT_ASSERT(std::ranges::adjacent_find(returns) == returns.end());
        CPPUNIT_ASSERT(returns.front() > milliseconds{0});
    }

    void call_without_any_endpoint_is_refused_at_once() {
        dispatcher_->submit(stamp(1));
        const auto decisions = dispatcher_->pump(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions.front().reason == refusal::no_endpoints);
    }

    void call_is_not_refused_while_places_are_free() {
        dispatcher_->update(plain("a", "north"));
        for (std::uint64_t number = 1; number <= 200; ++number) {
            const auto now = start + milliseconds{static_cast<int>(number)};
            auto call = stamp(number);
            call.queue_deadline = now;
            dispatcher_->submit(call);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), dispatcher_->pump(now).at(0).endpoint);
            dispatcher_->finish(number, now);
        }
    }

    void leaving_endpoint_gets_no_call() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->update(plain("b", "south"));
        auto leaving = plain("a", "north");
        leaving.draining = true;
        dispatcher_->update(leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place(stamp(1)));
        dispatcher_->remove("b");
        CPPUNIT_ASSERT(!dispatcher_->serves("register"));
    }

    /// Guards against calls to an engine that came back under its former id with nothing loaded.
    void returning_endpoint_restarted_empty_has_no_adapter() {
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
        CPPUNIT_ASSERT_EQUAL(std::string("a"), place(stamp(1)));
        dispatcher_->retry(1);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), dispatcher_->pump(start).at(0).endpoint);
    }

    void peers_calls_count_as_load() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->update(plain("b", "north"));
        dispatcher_->set_peer_load("peer", "a", {4, 0}, start);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), place(stamp(1)));
    }

    /// Guards against places that stay taken after the node that used them was killed.
    void lost_peer_no_longer_counts_as_load() {
        dispatcher_->update(plain("a", "north"));
        dispatcher_->set_peer_load("peer", "a", {4, 0}, start);
        dispatcher_->submit(stamp(1));
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
    /// Runs calls of different length one after the other on engines of that speed.
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

    /// Takes all places of the own data centre and returns what becomes of one more call.
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
