#include "placing_node.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using std::chrono::milliseconds;

/// Placement of calls by the lead of a data centre and, without it, by the node itself.
class call_placer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_placer_test);
    CPPUNIT_TEST(burst_through_two_nodes_does_not_exceed_engine_slots);
    CPPUNIT_TEST(ended_call_slot_goes_to_next_call);
    CPPUNIT_TEST(unresponsive_lead_call_is_placed_locally);
    CPPUNIT_TEST(disconnected_node_slots_are_released_by_lead);
    CPPUNIT_TEST(disconnected_lead_calls_are_placed_locally);
    CPPUNIT_TEST(running_call_of_lost_lead_counts_until_it_ends);
    CPPUNIT_TEST(late_placement_answer_does_not_send_call_twice);
    CPPUNIT_TEST(adapter_in_other_data_centre_is_requested_from_its_lead);
    CPPUNIT_TEST(call_end_is_reported_to_lead_that_placed_it);
    CPPUNIT_TEST(outcome_on_former_run_of_an_engine_tells_its_lead_nothing);
    CPPUNIT_TEST(missing_lead_calls_are_placed_locally);
    CPPUNIT_TEST(damaged_frames_are_counted_and_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        network_ = std::make_unique<placing_network>();
        network_->leads = {{"north", "lead"}};
        for (const std::string name : {"lead", "one", "two"}) {
            network_->add(name, "north");
        }
    }

    /// Guards against overload of an engine due to stale load counts: two nodes get calls at the
    /// same moment for an engine with four slots.
    void burst_through_two_nodes_does_not_exceed_engine_slots() {
        for (std::uint64_t number = 1; number <= engine_slots; ++number) {
            submit("one", number);
            submit("two", number);
        }
        deliver();
        CPPUNIT_ASSERT_EQUAL(engine_slots, node("one").placed() + node("two").placed());
        CPPUNIT_ASSERT_EQUAL(engine_slots, node("lead").dispatcher().waiting());
    }

    void ended_call_slot_goes_to_next_call() {
        for (std::uint64_t number = 1; number <= engine_slots; ++number) {
            submit("one", number);
        }
        submit("two", 1);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, node("two").placed());
        node("one").placer().on_started(1);
        node("one").placer().finish(1, send_outcome::none);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("two").placed());
    }

    /// The lead is frozen while its connections stay open.
    void unresponsive_lead_call_is_placed_locally() {
        submit("one", 1);
        network_->frames.clear();
        network_->now += milliseconds{300};
        node("one").placer().tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").placed());
    }

    void disconnected_node_slots_are_released_by_lead() {
        for (std::uint64_t number = 1; number <= engine_slots; ++number) {
            submit("one", number);
        }
        submit("two", 1);
        deliver();
        node("lead").placer().on_peer_down("one");
        node("lead").pump(network_->now);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("two").placed());
    }

    void disconnected_lead_calls_are_placed_locally() {
        submit("one", 1);
        network_->frames.clear();
        node("one").placer().on_peer_down("lead");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").placed());
    }

    /// Guards against a new lead that takes the memory of running calls as free.
    void running_call_of_lost_lead_counts_until_it_ends() {
        submit("one", 1);
        deliver();
        CPPUNIT_ASSERT(node("one").dispatcher().own_loads().empty());
        node("one").placer().on_peer_down("lead");
        const auto loads = node("one").dispatcher().own_loads();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.size());
        CPPUNIT_ASSERT(loads.begin()->second.held_tokens > 0);
        node("one").placer().finish(1, send_outcome::none);
        CPPUNIT_ASSERT(node("one").dispatcher().own_loads().empty());
    }

    void late_placement_answer_does_not_send_call_twice() {
        submit("one", 1);
        const auto requests = std::exchange(network_->frames, {});
        network_->now += milliseconds{300};
        node("one").placer().tick();
        network_->frames.insert(network_->frames.begin(), requests.begin(), requests.end());
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").decisions.size());
        CPPUNIT_ASSERT(node("lead").dispatcher().own_loads().empty());
    }

    void adapter_in_other_data_centre_is_requested_from_its_lead() {
        move_adapter_south();
        submit("one", 1);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").placed());
        CPPUNIT_ASSERT_EQUAL(std::string("southern"), node("one").decisions.front().endpoint);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             node("far").dispatcher().own_loads().at("southern").calls);
    }

    /// Guards against slots at the other data centre that are never released.
    void call_end_is_reported_to_lead_that_placed_it() {
        move_adapter_south();
        submit("one", 1);
        submit("one", 2);
        deliver();
        node("one").placer().on_started(1);
        node("one").placer().finish(1, send_outcome::none);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             node("far").dispatcher().own_loads().at("southern").calls);
        node("lead").placer().on_peer_down("one");
        deliver();
        CPPUNIT_ASSERT(node("far").dispatcher().own_loads().empty());
    }

    /// Guards against calls that wait for an adapter that their engine has: its former run rejected
    /// a call, and the lead knows the next one already.
    void outcome_on_former_run_of_an_engine_tells_its_lead_nothing() {
        submit("one", 1);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").placed());
        auto restarted = sample_engine("engine", "north");
        restarted.started_ms += 1;
        node("lead").dispatcher().update(restarted);
        node("one").placer().finish(1, send_outcome::not_resident);
        deliver();
        submit("one", 2);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, node("one").placed());
    }

    void missing_lead_calls_are_placed_locally() {
        network_->leads.clear();
        submit("one", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").placed());
        CPPUNIT_ASSERT(network_->frames.empty());
    }

    void damaged_frames_are_counted_and_ignored() {
        auto& placer = node("lead").placer();
        using support::json;
        const auto whole = placement_request_frame(sample_call(1), network_->now);
        for (const auto& [name, value] : whole.items()) {
            auto damaged = whole;
            damaged[name] = json::array({nullptr, -1});
            placer.on_placement_request("one", damaged);
            damaged.erase(name);
            placer.on_placement_request("one", damaged);
            placer.on_placement_answer(damaged);
            placer.on_peer_call_started("one", damaged);
            placer.on_peer_call_end("one", damaged);
        }
        placer.on_placement_answer(json::array());
        placer.on_placement_request("one", json("text"));
        placer.on_peer_down("one");
        CPPUNIT_ASSERT(node("lead").dispatcher().own_loads().empty());
        CPPUNIT_ASSERT(node("lead").counters().render().find("peer_frames_damaged_total") !=
                       std::string::npos);
    }

private:
    fleet::pending_call sample_call(std::uint64_t number) const {
        auto call = fleet::sample_call(number, "assistant", network_->now, milliseconds{600});
        call.model = patterns;
        call.prompt_tokens = 10;
        return call;
    }

    /// Makes an engine in another data centre with its own lead the only one with the adapter.
    void move_adapter_south() {
        network_->leads["south"] = "far";
        network_->add("far", "south");
        for (const std::string name : {"lead", "far"}) {
            auto& dispatcher = node(name).dispatcher();
            dispatcher.update(sample_engine("southern", "south"));
            dispatcher.set_residency("engine", patterns, fleet::residency::absent, 0);
        }
    }

    void submit(const std::string& name, std::uint64_t number) {
        node(name).placer().submit(sample_call(number));
    }

    placing_node& node(const std::string& name) { return network_->node(name); }

    void deliver() { network_->deliver(); }

    std::unique_ptr<placing_network> network_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_placer_test);

} // namespace
