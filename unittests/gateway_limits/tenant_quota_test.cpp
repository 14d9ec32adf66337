#include "gateway/gateway_fixture.h"
#include "most_in_window.h"

#include <array>
#include <chrono>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":900,"attempts":2,"service":"register"}],
    "tenants":[{"name":"atlas","api-keys":["key-a"],"unit":"requests","rate-per-s":3,"burst":4},
               {"name":"birch","api-keys":["key-b"]}],
    "services":[{"name":"register"}]})";

/// Calls that the bound of the quota allows in any window, without its slack for tokens.
constexpr std::chrono::seconds window{8};
constexpr std::size_t allowed = (3 * 8 + 4) * 1.1;

/// Two gateways, one of which allocates the quota of a tenant.
class tenant_quota_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(tenant_quota_test);
    CPPUNIT_TEST(calls_of_two_nodes_stay_within_quota);
    CPPUNIT_TEST(nodes_led_from_another_data_centre_are_in_touch);
    CPPUNIT_TEST_SUITE_END();

public:
    tenant_quota_test() : gateway_fixture(configuration) {}

    // Guards against a quota that each node applies on its own, and against refusals of tenants
    // without one.
    void calls_of_two_nodes_stay_within_quota() {
        list_endpoint("endpoint-1");
        start_gateway_with(1);
        second_node second(peer_settings_of("node-2"), running);
        output->expect({"event=endpoint ", "state=ready"}, 2);
        output->expect({"event=quota_allocator_started"});
        const std::array nodes{address, second.node.caller_address()};
        std::array<int, 2> served{};
        int refused = 0;
        for (int number = 0; served[0] < 6 || served[1] < 6 || refused < 10; ++number) {
            CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served[0]) + " and " +
                                       std::to_string(served[1]) + ", refused " +
                                       std::to_string(refused),
                                   number < 1'000);
            std::this_thread::sleep_for(milliseconds{10}); // Refusals take less than that.
            for (std::size_t node = 0; node < nodes.size(); ++node) {
                address = nodes.at(node);
                const auto response = call_with("key-a", std::to_string(number));
                if (response.status == 200) {
                    ++served.at(node);
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL(429, response.status);
                CPPUNIT_ASSERT(!response.headers.find("Retry-After")->second.empty());
                CPPUNIT_ASSERT(response.body.find("not_run") != std::string::npos);
                ++refused;
            }
        }
        output->expect({"event=quota_takes_effect", "tenant=atlas"});
        const auto arrivals = endpoints.at("endpoint-1")->arrivals();
        CPPUNIT_ASSERT(most_in_window(arrivals, window) <= allowed);
        CPPUNIT_ASSERT_EQUAL(200, call_with("key-b", "other").status);
    }

    // Guards against shares that are reserved for nodes in touch, because the node that leads their
    // data centre is located in another one: refusals of two thirds of the calls after a restart.
    void nodes_led_from_another_data_centre_are_in_touch() {
        auto settings = settings_of("node-1");
        settings.data_centres = {{"north", "n"}, {"west", "w"}};
        list_endpoint("endpoint-1");
        start_gateway(settings);
        output->expect({"event=lease_won", "data_centre=west"});
        output->expect({"event=quota_shares_reserved", "state=ended"});
        settings = peer_settings_of("node-2");
        settings.data_centres = {{"north", "n"}, {"west", "w"}};
        settings.data_centre = "west";
        second_node second(settings, running);
        output->expect({"event=quota_shares_reserved", "state=begun"}, 2);
        output->expect({"event=quota_shares_reserved", "state=ended"}, 2);
        CPPUNIT_ASSERT_EQUAL(1, output->count({"event=lease_won", "data_centre=west"}));
    }

private:
    net::http_response call_with(const std::string& key, const std::string& id) {
        const auto answer = send_with({{"Api-Key", key}}, "/stamps/1", address + "-" + id);
        CPPUNIT_ASSERT(answer);
        return answer.value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_quota_test);

} // namespace
