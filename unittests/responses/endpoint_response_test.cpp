#include "case_report.h"
#include "gateway_fixture.h"
#include "response_cases.h"

#include <fmt/format.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;
using net::response_result;

/// Whole, truncated and invalid responses of endpoints, as callers see them.
class endpoint_response_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(endpoint_response_test);
    CPPUNIT_TEST(caller_gets_only_whole_valid_responses);
    CPPUNIT_TEST(caller_of_stream_can_tell_that_it_is_not_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a part of a response that the caller takes for the whole, against a call that
    /// runs twice, and against a call that may have run and is said not to have run.
    void caller_gets_only_whole_valid_responses() {
        start();
        for (const auto& item : net::response_cases()) {
            for (const std::string kind : {"unsafe", "safe"}) {
                const auto id = item.name + "-" + kind;
                const int before = requests(item.name);
                const auto answer = raw_call(item, kind, id, "1.1");
                const int sends = requests(item.name) - before;
                release(item.name);
                expect_answer(item, id, answer.text);
                if (item.result == response_result::complete) {
                    report_.expect(id + " sends", 1, sends);
                } else if (item.result == response_result::failed) {
                    report_.expect(id + " sends", kind == "safe" ? 2 : 1, sends);
                    lines_.emplace_back(id, "event=endpoint_failed", sends);
                } else {
                    report_.expect(id + " sent to another", true, sends > 1);
                    lines_.emplace_back(id, "event=endpoint_refused", sends);
                }
            }
        }
        stop_and_check();
    }

    /// The head of a stream is passed on before its end is known. A caller that speaks HTTP/1.0
    /// gets no chunks and can tell only by a reset. Guards also against a second response after the
    /// head, which the server would count as an internal error.
    void caller_of_stream_can_tell_that_it_is_not_whole() {
        start();
        for (const auto& item : net::response_cases()) {
            for (const std::string version : {"1.1", "1.0"}) {
                const auto id = item.name + "-stream-" + version;
                const auto answer = raw_call(item, "stream", id, version);
                release(item.name);
                if (status_in(answer.text) != "200") {
                    expect_answer(item, id, answer.text);
                    continue;
                }
                const bool failed = item.result == response_result::failed;
                lines_.emplace_back(id, "event=call_refused", 0);
                lines_.emplace_back(id, "outcome=broken_off", failed ? 1 : 0);
                const bool whole =
                    version == "1.1" ? answer.text.ends_with("\r\n0\r\n\r\n") : !answer.reset;
                report_.expect(id + " whole", item.result == response_result::complete, whole);
                if (item.result == response_result::complete) {
                    report_.expect(id + " body", true,
                                   answer.text.find(net::case_body) != std::string::npos);
                }
            }
        }
        stop_and_check();
    }

private:
    struct received {
        std::string text;
        bool reset = false; ///< Whether the connection ended with a reset.
    };

    /// Checks an answer that is not streamed.
    void expect_answer(const net::response_case& item, const std::string& id,
                       const std::string& text) {
        if (item.result == response_result::complete) {
            report_.expect(id, std::to_string(item.status), status_in(text));
            report_.expect(id + " body", item.passed_body(), body_in(text));
            return;
        }
        const bool refused = item.result == response_result::refused;
        report_.expect(id, std::string(refused ? "503" : "502"), status_in(text));
        report_.expect(id + " outcome", std::string(refused ? "not_run" : "unknown"),
                       outcome_in(text));
    }

    /// Checks the log lines of the calls, which may be written after the answers.
    void stop_and_check() {
        stop_threads();
        for (const auto& [id, event, count] : lines_) {
            report_.expect(fmt::format("{} {}", id, event), count,
                           output->count({event, fmt::format("request={} ", id)}));
        }
        report_.assert_none();
    }

    void start() {
        auto routes = support::json::array();
        auto services = support::json::array();
        for (const auto& item : net::response_cases()) {
            services.push_back({{"name", item.name}});
            for (const std::string kind : {"unsafe", "safe", "stream"}) {
                routes.push_back({{"name", item.name + "-" + kind},
                                  {"host", "desk"},
                                  {"path-prefix", "/" + item.name + "/" + kind + "/"},
                                  {"kind", kind},
                                  {"attempts", kind == "stream" ? 1 : 2},
                                  {"timeout-ms", 9000},
                                  {"slo-ms", 4000},
                                  {"service", item.name}});
            }
            for (auto& endpoint : endpoints_[item.name]) {
                endpoint = std::make_unique<net::case_endpoint>(item);
                put_record(item.name + " at " + endpoint->address(), endpoint->address(),
                           item.name);
            }
        }
        store->put(
            "keyed.op", "config",
            support::json{{"version", 3}, {"routes", routes}, {"services", services}}.dump());
        start_gateway_with(2 * endpoints_.size());
    }

    int requests(const std::string& name) const {
        const auto& pair = endpoints_.at(name);
        return pair[0]->requests() + pair[1]->requests();
    }

    void release(const std::string& name) {
        for (const auto& endpoint : endpoints_.at(name)) {
            endpoint->release();
        }
    }

    /// Sends a call and returns all bytes until the node closes the connection.
    received raw_call(const net::response_case& item, const std::string& kind,
                      const std::string& id, const std::string& version) const {
        auto connection = open_call("/" + item.name + "/" + kind + "/" + id, id,
                                    milliseconds{5'000}, version, item.request_body());
        auto text = connection.read_all();
        return {std::move(text), connection.was_reset()};
    }

    static std::string status_in(const std::string& text) {
        return text.size() < 12 ? std::string{} : text.substr(9, 3);
    }

    static std::string body_in(const std::string& text) {
        const auto end = text.find("\r\n\r\n");
        return end == std::string::npos ? std::string{} : text.substr(end + 4);
    }

    static std::string outcome_in(const std::string& text) {
        const auto body = support::json::parse(body_in(text), nullptr, false);
        return body.is_object() ? body.value("outcome", "") : std::string{};
    }

    std::map<std::string, std::array<std::unique_ptr<net::case_endpoint>, 2>> endpoints_;
    net::case_report report_;
    /// Log lines that are due: the id of a call, the event and the number of lines.
    std::vector<std::tuple<std::string, std::string, int>> lines_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_response_test);

} // namespace
