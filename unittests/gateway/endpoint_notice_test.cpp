#include "gateway_fixture.h"

#include <string>

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
    endpoint_notice_test() : gateway_fixture(configuration) {}

    void leaving_endpoint_gets_no_further_calls() {
        start({200, {{"Server-Leaving", "1"}}}, {200, {}});
        call_until_first_endpoint_is_used();
        const int before = calls_of_first();
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "later-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, calls_of_first());
        output->expect(
            {"event=endpoint ", "endpoint=endpoint-1", "state=leaving", "source=answer"});
    }

    void leaving_notice_is_forwarded_to_peer() {
        start({200, {{"Server-Leaving", "1"}}}, {200, {}});
        auto settings = peer_settings_of("node-2");
        settings.store_address = "127.0.0.1:1"; // Its only source of records is its peer.
        second_node second(settings, running);
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=ready"}, 2);
        call_until_first_endpoint_is_used();
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=leaving", "source=peer"});
        const int before = calls_of_first();
        address = second.node.caller_address();
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "second-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, calls_of_first());
    }

    /// The refused call and all later ones are served by the other endpoint.
    void endpoint_that_requests_pause_gets_no_further_calls() {
        start(refusal_with_pause(), {200, {}});
        for (int number = 0; number < many_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "call-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(1, calls_of_first());
        output->expect({"event=endpoint_paused", "endpoint=endpoint-1", "source=answer"});
    }

    void calls_are_refused_immediately_while_all_endpoints_pause() {
        start(refusal_with_pause(), refusal_with_pause());
        call("/stamps/1", "first");
        call("/stamps/1", "second");
        const int before = calls_of_both();
        const auto answer = call("/stamps/1", "third");
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(std::stod(std::string(net::header(answer.headers, "Retry-After"))) >
                       0.5 * pause_s);
        CPPUNIT_ASSERT_EQUAL(before, calls_of_both());
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

    void start(const endpoint_response& first, const endpoint_response& second) {
        list_endpoint("endpoint-1", "register",
                      endpoint_stand_in::answer_with("", first.status, first.headers));
        list_endpoint("endpoint-2", "register",
                      endpoint_stand_in::answer_with("", second.status, second.headers));
        start_gateway_with(2);
    }

    int calls_of_first() { return endpoints.at("endpoint-1")->calls(); }
    int calls_of_both() { return calls_of_first() + endpoints.at("endpoint-2")->calls(); }

    void call_until_first_endpoint_is_used() {
        for (int number = 0; calls_of_first() == 0 && number < many_calls; ++number) {
            call("/stamps/1", "early-" + std::to_string(number));
        }
        CPPUNIT_ASSERT(calls_of_first() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_test);

} // namespace
