#include "restored_store_fixture.h"

#include <string>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

constexpr int lost_version = 6;
constexpr int added_version = 8;
/// An address at which nothing listens.
constexpr const char* nowhere = "127.0.0.1:1";

/// What gateways tell each other of a store that was restored.
class restored_store_peers_test : public restored_store_fixture {
    CPPUNIT_TEST_SUITE(restored_store_peers_test);
    CPPUNIT_TEST(route_added_after_restoration_is_served_by_both_gateways);
    CPPUNIT_TEST(route_added_after_restoration_is_served_by_gateway_without_store);
    CPPUNIT_TEST(endpoint_that_drains_after_restoration_gets_no_calls_of_either_gateway);
    CPPUNIT_TEST(gateway_that_registered_in_the_lost_seconds_is_written_again);
    CPPUNIT_TEST(gateway_started_after_restoration_finds_one_that_registered_in_the_lost_seconds);
    CPPUNIT_TEST(gateway_started_after_restoration_gets_lost_configuration_from_peer);
    CPPUNIT_TEST(gateway_started_after_restoration_gets_lost_adapter_version_from_peer);
    CPPUNIT_TEST(gateway_started_after_restoration_serves_route_added_later);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an added route that is not served (CONFIG): one gateway reads the store for
    /// both.
    void route_added_after_restoration_is_served_by_both_gateways() {
        start_first();
        second_node second(reachable_settings_of("node-2"), running);
        expect_linked();
        lose_configurations();
        expect_added_route_is_served_by_both(second);
    }

    /// The second gateway knows the store by its peer only.
    void route_added_after_restoration_is_served_by_gateway_without_store() {
        start_first();
        auto settings = settings_of("node-2");
        settings.store_address = nowhere;
        settings.peers = {peer_address};
        second_node second(settings, running);
        expect_linked();
        lose_configurations();
        expect_added_route_is_served_by_both(second);
    }

    /// Guards against calls to an endpoint that has reported that it drains (DRAIN).
    void endpoint_that_drains_after_restoration_gets_no_calls_of_either_gateway() {
        list_endpoint("endpoint-2");
        start_first();
        second_node second(reachable_settings_of("node-2"), running);
        expect_linked();
        auto copy = store->copy();
        for (int number = 1; number <= lost_version; ++number) {
            put_endpoint("endpoint-2", "ready", "register", number);
        }
        expect_endpoints_are_read(2);
        restore_after_outage(std::move(copy));
        put_endpoint("endpoint-2", "draining");
        expect_endpoint("endpoint-2", "leaving", 2);
        expect_served("/stamps/1");
        address = second.node.caller_address();
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-2")->calls());
    }

    /// Guards against a gateway that others do not find.
    void gateway_that_registered_in_the_lost_seconds_is_written_again() {
        auto copy = store->copy();
        start_first();
        restore_after_outage(std::move(copy));
        eventually("another registration", [this] { return registered("node-1"); });
    }

    void gateway_started_after_restoration_finds_one_that_registered_in_the_lost_seconds() {
        auto copy = store->copy();
        start_first();
        restore_after_outage(std::move(copy));
        second_node second(reachable_settings_of("node-2"), running);
        expect_peers();
    }

    /// Guards against a confirmed change that is not in force (CONFIG): the operator has not yet
    /// written it again.
    void gateway_started_after_restoration_gets_lost_configuration_from_peer() {
        start_first();
        auto copy = store->copy();
        put_configuration(lost_version, {"added"});
        expect_configuration(lost_version);
        restore_after_outage(std::move(copy));
        expect_list_is_read("keyed.op");
        second_node second(reachable_settings_of("node-2"), running);
        expect_configuration(lost_version, 2);
        expect_endpoint("endpoint-1", "ready", 2);
        address = second.node.caller_address();
        expect_served("/added/1");
    }

    /// Guards against calls that run on an older version of an adapter (VERSION).
    void gateway_started_after_restoration_gets_lost_adapter_version_from_peer() {
        start_first();
        auto copy = store->copy();
        store->put("keyed.op", "version/base.known",
                   support::json{{"model", "base"}, {"adapter", "known"}, {"version", 4}}.dump());
        output->expect({"event=adapter_version ", "adapter=base/known ", "version=4 "});
        restore_after_outage(std::move(copy));
        expect_list_is_read("keyed.op");
        second_node second(reachable_settings_of("node-2"), running);
        output->expect({"event=adapter_version ", "adapter=base/known ", "version=4 "}, 2);
    }

    void gateway_started_after_restoration_serves_route_added_later() {
        start_first();
        lose_configurations(1);
        second_node second(reachable_settings_of("node-2"), running);
        expect_linked();
        expect_added_route_is_served_by_both(second);
    }

private:
    bool registered(const std::string& name) const { return store->has("keyed.nodes", name); }

    void start_first() {
        list_endpoint("endpoint-1");
        start_gateway(reachable_settings_of("node-1"));
        expect_configuration(3);
        expect_endpoint("endpoint-1", "ready");
        eventually("the registration", [this] { return registered("node-1"); });
    }

    /// Waits until both gateways know each other.
    void expect_peers() const {
        output->expect({"event=peer_regained", "peer=node-1"});
        output->expect({"event=peer_regained", "peer=node-2"});
    }

    /// Waits until they also know the endpoint.
    void expect_linked() const {
        expect_peers();
        expect_endpoint("endpoint-1", "ready", 2);
    }

    /// Writes configurations that `nodes` gateways apply and the store then loses.
    void lose_configurations(int nodes = 2) {
        auto copy = store->copy();
        for (int version = 4; version <= lost_version; ++version) {
            put_configuration(version);
        }
        expect_configuration(lost_version, nodes);
        restore_after_outage(std::move(copy));
    }

    void expect_added_route_is_served_by_both(second_node& second) {
        put_configuration(added_version, {"added"});
        expect_configuration(added_version, 2);
        expect_served("/added/1");
        address = second.node.caller_address();
        expect_served("/added/1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_peers_test);

} // namespace
