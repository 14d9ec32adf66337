#include "gateway_fixture.h"

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":300,"attempts":2,"service":"register"}],"services":[{"name":"register"}]})";

/// More calls than the two endpoints have slots, so that each would normally get some.
constexpr int many_calls = 20;
constexpr int pause_s = 30;

/// Gateways with two plain endpoints that include notices about themselves in their responses.
class endpoint_notice_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_test);
    CPPUNIT_TEST(leaving_endpoint_gets_no_further_calls);
    CPPUNIT_TEST(leaving_notice_is_forwarded_to_peer);
    CPPUNIT_TEST(endpoint_that_requests_pause_gets_no_further_calls);
    CPPUNIT_TEST(calls_are_refused_immediately_while_all_endpoints_pause);
    CPPUNIT_TEST(damaged_notice_is_logged_and_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override {
        stop_threads();
        endpoints_ = {};
        gateway_fixture::tearDown();
    }

    void leaving_endpoint_gets_no_further_calls() {
        start({200, {{"Server-Leaving", "1"}}}, {200, {}});
        call_until_first_endpoint_is_used();
        const int before = endpoints_[0]->calls();
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "later-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, endpoints_[0]->calls());
        output->expect(
            {"event=endpoint ", "endpoint=endpoint-1", "state=leaving", "source=answer"});
    }

    void leaving_notice_is_forwarded_to_peer() {
        start({200, {{"Server-Leaving", "1"}}}, {200, {}});
        auto settings = settings_of("node-2");
        settings.store_address = "127.0.0.1:1"; // Its only source of records is its peer.
        settings.peers = {peer_address};
        second_node second(settings, running);
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=ready"}, 2);
        call_until_first_endpoint_is_used();
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=leaving", "source=peer"});
        const int before = endpoints_[0]->calls();
        address = second.node.caller_address();
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "second-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, endpoints_[0]->calls());
    }

    /// The refused call and all later ones are served by the other endpoint.
    void endpoint_that_requests_pause_gets_no_further_calls() {
        start(refusal_with_pause(), {200, {}});
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "call-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(1, endpoints_[0]->calls());
        output->expect({"event=endpoint_paused", "endpoint=endpoint-1", "source=answer"});
    }

    void calls_are_refused_immediately_while_all_endpoints_pause() {
        start(refusal_with_pause(), refusal_with_pause());
        call("/stamps/1", "first");
        call("/stamps/1", "second");
        const int before = endpoints_[0]->calls() + endpoints_[1]->calls();
        const auto answer = call("/stamps/1", "third");
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(std::stod(std::string(net::header(answer.headers, "Retry-After"))) >
                       0.5 * pause_s);
        CPPUNIT_ASSERT_EQUAL(before, endpoints_[0]->calls() + endpoints_[1]->calls());
        CPPUNIT_ASSERT(before <= 2);
        output->expect({"event=call_refused", "request=third", "reason=endpoints_paused"});
    }

    void damaged_notice_is_logged_and_ignored() {
        start({200, {{"Server-Leaving", "maybe"}}}, {200, {{"Server-Leaving", ""}}});
        CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "first").status);
        output->expect({"event=endpoint_notice_damaged"});
        CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "second").status);
        CPPUNIT_ASSERT_EQUAL(0, output->count({"state=leaving"}));
    }

private:
    /// Status and headers of all responses of an endpoint.
    struct endpoint_response {
        int status = 200;
        net::http_headers headers;
    };

    static endpoint_response refusal_with_pause() {
        return {503, {{"Not-Run", "1"}, {"Retry-After", std::to_string(pause_s)}}};
    }

    static endpoint_stand_in::call_handler answer_as(endpoint_response spec) {
        return [spec = std::move(spec)](net::http_exchange& exchange) -> net::awaitable<void> {
            auto response = endpoint_stand_in::signed_head(exchange);
            response.status = spec.status;
            response.headers.insert(spec.headers.begin(), spec.headers.end());
            co_await exchange.respond(std::move(response));
        };
    }

    void start(endpoint_response first, endpoint_response second) {
        store->put("keyed.op", "config", configuration);
        std::size_t count = 0;
        for (auto* spec : {&first, &second}) {
            auto& endpoint = endpoints_[count++];
            endpoint = std::make_unique<endpoint_stand_in>(context->get(), answer_as(*spec));
            store->put("keyed.servers", "endpoint-" + std::to_string(count),
                       R"({"service":"register","addr":")" + endpoint->address() +
                           R"(","zone":"north","slots":6,"state":"ready","seq":0,"born":1,)"
                           R"("models":[]})");
        }
        start_gateway();
        output->expect({"event=endpoint ", "endpoint=endpoint-1"});
        output->expect({"event=endpoint ", "endpoint=endpoint-2"});
        output->expect({"event=configuration"});
    }

    void call_until_first_endpoint_is_used() {
        for (int number = 0; endpoints_[0]->calls() == 0 && number < many_calls; ++number) {
            call("/stamps/1", "early-" + std::to_string(number));
        }
        CPPUNIT_ASSERT(endpoints_[0]->calls() > 0);
    }

    std::array<std::unique_ptr<endpoint_stand_in>, 2> endpoints_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_test);

} // namespace
