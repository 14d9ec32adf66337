#include "gateway/gateway_fixture.h"
#include "most_in_window.h"

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":300,"attempts":2,"service":"register"},
    {"name":"patterns","host":"desk","path-prefix":"/patterns/","kind":"stream","timeout-ms":9000,
     "slo-ms":300,"gap-aim-ms":300,"service":"assistant"}],
    "services":[{"name":"register"},{"name":"assistant","engine":{"slots":4,"weights-mb":100,
     "adapter-slots":20,"models":[{"name":"base","weights-mb":50,"adapter-mb":1}]}}]})";

/// Limit that the endpoints name, in requests a second for all nodes together.
constexpr double limit_per_s = 2;
constexpr std::chrono::seconds window{4};
/// Requests that the platform's rule LIMIT allows in any window.
constexpr std::size_t allowed = 1.5 * limit_per_s * window.count() + 5;

/// Gateways with endpoints that name a limit in their responses.
class endpoint_limit_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(endpoint_limit_test);
    CPPUNIT_TEST(endpoint_gets_more_calls_of_two_nodes_than_its_limit);
    CPPUNIT_TEST(engine_gets_more_orders_and_checks_than_its_limit);
    CPPUNIT_TEST(limit_is_forwarded_to_peer_that_has_sent_nothing);
    CPPUNIT_TEST(calls_are_served_again_after_limit_has_ended);
    CPPUNIT_TEST(damaged_limit_is_logged_and_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    endpoint_limit_test() : gateway_fixture(configuration) {}

    /// The incident: eight nodes sent an endpoint 77 requests in 4 s; 33 were allowed.
    void endpoint_gets_more_calls_of_two_nodes_than_its_limit() {
        const auto second = start_two_nodes();
        constexpr int many_calls = 30;
        const std::array nodes{address, second->node.caller_address()};
        for (int number = 0; number < many_calls; ++number) {
            for (const auto& node : nodes) {
                address = node;
                call("/stamps/1", node + "-" + std::to_string(number));
            }
        }
        output->expect({"event=endpoint_limit ", "endpoint=endpoint-1", "per_s=2.000"}, 2);
        assert_within_limit();
    }

    /// The same incident: orders and checks were 30 of 77 requests at one engine.
    void engine_gets_more_orders_and_checks_than_its_limit() {
        start("assistant", "2.0");
        // A new lease holder sends no orders for a short time; until then calls are refused
        // immediately.
        int calls = 0;
        const auto call_for_another_adapter = [&] {
            const auto number = std::to_string(++calls);
            call("/patterns/1", "id-" + number, "base/a" + number);
        };
        do {
            call_for_another_adapter();
            CPPUNIT_ASSERT(calls < 2'000);
            std::this_thread::sleep_for(milliseconds{10});
        } while (output->count({"event=order "}) == 0);
        constexpr int many_adapters = 12;
        for (int number = 0; number < many_adapters; ++number) {
            call_for_another_adapter();
        }
        output->expect({"event=endpoint_limit ", "endpoint=endpoint-1", "per_s=2.000"});
        assert_within_limit();
    }

    void limit_is_forwarded_to_peer_that_has_sent_nothing() {
        const auto second = start_two_nodes();
        call("/stamps/1", "first");
        output->expect({"event=endpoint_limit ", "per_s=2.000", "source=peer"});
    }

    void calls_are_served_again_after_limit_has_ended() {
        start("register", "2.0");
        constexpr int many_calls = 30;
        for (int number = 0; number < many_calls; ++number) {
            call("/stamps/1", "limited-" + std::to_string(number));
        }
        endpoint().set_limit("");
        int served = 0;
        for (int number = 0; served < many_calls && number < 2'000; ++number) {
            const auto status = call("/stamps/1", "later-" + std::to_string(number)).status;
            served = status == 200 ? served + 1 : 0;
            // Stays below the rate limit of log lines, which the next test reads.
            std::this_thread::sleep_for(milliseconds{10});
        }
        CPPUNIT_ASSERT_EQUAL(many_calls, served);
        output->expect({"event=endpoint_limit ", "per_s=none", "source=answer"});
    }

    void damaged_limit_is_logged_and_ignored() {
        start("register", "many");
        constexpr int many_calls = 30;
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "id-" + std::to_string(number)).status);
        }
        output->expect({"event=endpoint_notice_damaged", "endpoint=endpoint-1"});
        CPPUNIT_ASSERT_EQUAL(0, output->count({"event=endpoint_limit "}));
    }

private:
    void start(const std::string& service, const std::string& limit) {
        list_endpoint("endpoint-1", service,
                      [this](net::http_exchange& exchange) -> net::awaitable<void> {
                          auto response = endpoint_stand_in::signed_head(exchange);
                          endpoint().add_limit(response);
                          co_await exchange.respond(std::move(response));
                      });
        endpoint().set_limit(limit);
        start_gateway_with(1);
    }

    /// Starts a limited endpoint and two gateways that are connected.
    std::unique_ptr<second_node> start_two_nodes() {
        start("register", "2.0");
        auto second = std::make_unique<second_node>(peer_settings_of("node-2"), running);
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=ready"}, 2);
        output->expect({"event=peer_regained"}, 2);
        return second;
    }

    void assert_within_limit() {
        const auto most = most_in_window(endpoint().arrivals(), window);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s, allowed " +
                                   std::to_string(allowed),
                               most <= allowed);
    }

    endpoint_stand_in& endpoint() { return *endpoints.at("endpoint-1"); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_limit_test);

} // namespace
