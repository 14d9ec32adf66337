#include "gateway_fixture.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

/// Returns a script that reads a request and responds with `text`, in which ID is replaced by `id`.
net::scripted_server::script answers(std::string text, const std::string& id) {
    if (const auto position = text.find("ID"); position != std::string::npos) {
        text.replace(position, 2, id);
    }
    return [text = std::move(text)](net::raw_connection& connection) {
        connection.read_until(net::end_of_head);
        connection.write(text);
    };
}

/// Calls to a plain service that ran and whose response was lost: the caller is never told that the
/// call has not run, and the call is not sent again.
class lost_answer_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(lost_answer_test);
    CPPUNIT_TEST(call_with_lost_response_runs_once_and_has_unknown_outcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_with_lost_response_runs_once_and_has_unknown_outcome() {
        std::map<std::string, net::scripted_server::script> losses{
            {"closed", answers("", "closed")},
            {"reset",
             [](net::raw_connection& connection) {
                 connection.read_until(net::end_of_head);
                 connection.reset();
             }},
            {"half-head", answers("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", "half-head")},
            {"half-body", answers("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
                                  "Content-Length: 9\r\n\r\nhalf",
                                  "half-body")},
            {"half-chunk", answers("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
                                   "half-chunk")},
            {"no-signature", answers("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
                                     "Content-Length: 4\r\n\r\ntext",
                                     "no-signature")},
            {"another-id", answers("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n"
                                   "Content-Length: 4\r\n\r\ntext",
                                   "another-id")},
            {"no-http", answers("\x01\x02 this is no answer\r\n\r\n", "no-http")},
            {"only-continue", answers("HTTP/1.1 100 Continue\r\n\r\n", "only-continue")},
            {"silent", [](net::raw_connection& connection) { connection.read_all(); }}};
        for (const std::string status :
             {"408 Request Timeout", "429 Too Many Requests", "500 Internal Server Error",
              "502 Bad Gateway", "503 Service Unavailable"}) {
            const auto name = "status-" + status.substr(0, 3);
            losses[name] = answers("HTTP/1.1 " + status + "\r\nRequest-Id: ID\r\n" +
                                       (name == "status-503" ? "Retry-After: 1\r\n" : "") +
                                       "Content-Length: 0\r\n\r\n",
                                   name);
        }
        endpoint_pairs pairs;
        for (const auto& [loss, script] : losses) {
            for (auto& endpoint : pairs[loss]) {
                endpoint = std::make_unique<net::scripted_server>(
                    std::vector<net::scripted_server::script>{script, script});
            }
        }
        serve(pairs);
        for (const auto& [loss, pair] : pairs) {
            const auto answer = send("/" + loss + "/1", loss, {}, milliseconds{2'000});
            CPPUNIT_ASSERT_MESSAGE(loss, answer);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(loss, loss == "silent" ? 504 : 502, answer.value().status);
            const auto outcome = support::json::parse(answer.value().body).at("outcome");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(loss, std::string("unknown"), outcome.get<std::string>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(loss, 1, pair[0]->accepted() + pair[1]->accepted());
        }
        stop_threads();
    }

private:
    /// Two endpoints for each service; both would also accept a second send.
    using endpoint_pairs =
        std::map<std::string, std::array<std::unique_ptr<net::scripted_server>, 2>>;

    /// Starts the gateway with a route and a service for each pair.
    void serve(const endpoint_pairs& pairs) {
        auto routes = support::json::array();
        auto services = support::json::array();
        for (const auto& [name, pair] : pairs) {
            routes.push_back({{"name", name},
                              {"host", "desk"},
                              {"path-prefix", "/" + name + "/"},
                              {"kind", "unsafe"},
                              {"timeout-ms", 9000},
                              {"slo-ms", 2000},
                              {"service", name}});
            services.push_back({{"name", name}});
            for (const auto& endpoint : pair) {
                put_record(name + " at " + endpoint->address(), endpoint->address(), name);
            }
        }
        store->put(
            "keyed.op", "config",
            support::json{{"version", 3}, {"routes", routes}, {"services", services}}.dump());
        start_gateway_with(2 * pairs.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_answer_test);

} // namespace
