#include "placing_node.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

constexpr std::size_t plain_slots = 6;

/// Placement of calls for plain services by leads.
class plain_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_placement_test);
    CPPUNIT_TEST(burst_through_two_nodes_does_not_exceed_slots_of_any_endpoint);
    CPPUNIT_TEST(burst_beyond_slots_of_one_data_centre_reaches_the_others);
    CPPUNIT_TEST(full_data_centre_is_not_asked_while_another_is_free);
    CPPUNIT_TEST(call_refused_by_endpoint_goes_to_other_data_centre);
    CPPUNIT_TEST(call_without_endpoint_in_own_data_centre_goes_to_the_nearest);
    CPPUNIT_TEST(call_refused_by_two_full_data_centres_is_refused_by_its_deadline);
    CPPUNIT_TEST(unresponsive_lead_call_is_placed_locally);
    CPPUNIT_TEST(node_places_plain_calls_itself_without_the_setting);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        network_ = std::make_unique<placing_network>();
        network_->leads = {{"north", "lead"}, {"east", "eastern"}, {"south", "southern"}};
        add("lead", "north");
        add("one", "north");
        add("two", "north");
        add("eastern", "east");
        add("southern", "south");
        for (const std::string data_centre : {"north", "east", "south"}) {
            add_endpoint(data_centre);
        }
    }

    /// Guards against full endpoints due to stale load counts: two nodes get calls at the same
    /// moment for an endpoint with six slots.
    void burst_through_two_nodes_does_not_exceed_slots_of_any_endpoint() {
        for (std::uint64_t number = 1; number <= plain_slots; ++number) {
            submit("one", number);
            submit("two", number);
        }
        deliver();
        CPPUNIT_ASSERT_EQUAL(plain_slots, load("lead", "north"));
        CPPUNIT_ASSERT(load("eastern", "east") <= plain_slots);
        CPPUNIT_ASSERT(load("southern", "south") <= plain_slots);
    }

    /// Guards against calls that queue in one data centre while the others are idle.
    void burst_beyond_slots_of_one_data_centre_reaches_the_others() {
        for (std::uint64_t number = 1; number <= 3 * plain_slots; ++number) {
            submit("one", number);
        }
        deliver();
        advance(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(3 * plain_slots, placed());
        CPPUNIT_ASSERT_EQUAL(plain_slots, load("eastern", "east"));
        CPPUNIT_ASSERT_EQUAL(plain_slots, load("southern", "south"));
    }

    /// Guards against repeated requests to a nearer lead that has just queued a call.
    void full_data_centre_is_not_asked_while_another_is_free() {
        fill("eastern");
        fill("lead");
        submit("lead", plain_slots + 1);
        network_->now += milliseconds{10};
        submit("lead", plain_slots + 2);
        // The calls are diverted 60 ms after their arrival, one after the other.
        advance(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("eastern").dispatcher().waiting());
        advance(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("eastern").dispatcher().waiting());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, load("southern", "south"));
    }

    /// Guards against a call that waits for the endpoint that has just refused it, the only one of
    /// its data centre.
    void call_refused_by_endpoint_goes_to_other_data_centre() {
        submit("one", 1);
        deliver();
        node("one").placer().retry(1, send_outcome::none);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placed());
        CPPUNIT_ASSERT_EQUAL(std::string("east"), node("one").decisions.back().endpoint);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load("lead", "north"));
    }

    void call_without_endpoint_in_own_data_centre_goes_to_the_nearest() {
        for (const std::string name : {"lead", "one", "eastern", "southern"}) {
            node(name).dispatcher().remove("north");
        }
        submit("one", 1);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::string("east"), node("one").decisions.at(0).endpoint);
    }

    /// Guards against calls that pass from one full data centre to the next without an end.
    void call_refused_by_two_full_data_centres_is_refused_by_its_deadline() {
        for (const std::string name : {"lead", "eastern", "southern"}) {
            fill(name);
        }
        submit("one", 1);
        deliver();
        advance(milliseconds{100});
        advance(milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node("one").decisions.size());
        CPPUNIT_ASSERT(node("one").decisions.front().endpoint.empty());
    }

    /// The lead is frozen while its connections stay open.
    void unresponsive_lead_call_is_placed_locally() {
        submit("one", 1);
        network_->frames.clear();
        network_->now += milliseconds{200};
        node("one").placer().tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed());
    }

    /// Guards against a change of existing deployments.
    void node_places_plain_calls_itself_without_the_setting() {
        node("one").settings().plain_calls = config::gateway_settings{}.plain_calls;
        submit("one", 1);
        CPPUNIT_ASSERT(network_->frames.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placed());
    }

private:
    void add(const std::string& name, const std::string& data_centre) {
        network_->add(name, data_centre);
        node(name).settings().plain_calls = config::plain_placement::lead;
    }

    void add_endpoint(const std::string& data_centre) {
        const auto record =
            fleet::sample_endpoint(data_centre, "register", plain_slots, data_centre);
        for (const std::string name : {"lead", "one", "two", "eastern", "southern"}) {
            node(name).dispatcher().update(record);
        }
    }

    void submit(const std::string& name, std::uint64_t number) {
        node(name).placer().submit(
            fleet::sample_call(number, "register", network_->now, milliseconds{400}));
    }

    /// Occupies all slots of the data centre of a lead with calls of its own.
    void fill(const std::string& lead) {
        for (std::uint64_t number = 1; number <= plain_slots; ++number) {
            submit(lead, number);
        }
        deliver();
    }

    void advance(milliseconds by) {
        network_->now += by;
        for (const std::string name : {"lead", "eastern", "southern"}) {
            node(name).pump(network_->now);
        }
        deliver();
    }

    std::size_t load(const std::string& lead, const std::string& endpoint) {
        const auto loads = node(lead).dispatcher().own_loads();
        const auto found = loads.find(endpoint);
        return found == loads.end() ? 0 : found->second.calls;
    }

    [[nodiscard]] std::size_t placed() { return node("one").placed(); }
    placing_node& node(const std::string& name) { return network_->node(name); }
    void deliver() { network_->deliver(); }

    std::unique_ptr<placing_network> network_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_placement_test);

} // namespace
