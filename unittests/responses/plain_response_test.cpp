#include "case_report.h"
#include "net/exchange_stand_in.h"
#include "net/test_context.h"
#include "plain_calls.h"
#include "response_cases.h"

#include <boost/asio/post.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::node;
using net::response_result;

/// The plain calls of a node that is alone and whose log holds every record at once.
class plain_node {
public:
    explicit plain_node(const std::vector<std::string>& endpoints) {
        context_.executor = threads_.get();
        context_.settings.region = "r";
        claims_.set_session(1);
        ledger::config_change change;
        change.sections["deployment"] = ledger::section{{"name", "test"}};
        change.sections["data_centre north"] = ledger::section{{"region", "r"}};
        change.sections["service desk"] = ledger::section{
            {"kind", "plain"}, {"data_centres", "north"}, {"non_idempotent", "POST /unsafe"}};
        const std::vector<ledger::stream_entry> entries{entry_of(0, change)};
        config_.apply(entries);
        const auto now = node_context::now();
        directory_.update_deployment(config_.view()->deployment, now);
        std::vector<membership::listed_vm> vms;
        vms.reserve(endpoints.size());
        for (const auto& address : endpoints) {
            vms.push_back({address, address, "north", "desk", false});
        }
        directory_.update_list(vms, now);
    }
    ~plain_node() { threads_.stop(); }
    plain_node(const plain_node&) = delete;
    plain_node& operator=(const plain_node&) = delete;

    net::http_response call(const std::string& kind, std::size_t body_bytes,
                            std::chrono::milliseconds patience) {
        net::http_request request;
        request.method = "POST";
        request.target = "/services/desk/" + kind;
        request.headers = {{"Request-Id", "1"},
                           {"Idempotency-Key", "key"},
                           {"X-Deadline-Ms", std::to_string(patience.count())}};
        request.body = std::string(body_bytes, 'u');
        net::exchange_stand_in exchange(std::move(request));
        threads_.run(serve(exchange));
        return std::move(exchange.response);
    }

private:
    static ledger::stream_entry entry_of(std::uint64_t offset, const ledger::record& content) {
        ledger::stream_entry entry{offset, "writer", offset + 1, support::json::array()};
        entry.payload.push_back(ledger::to_json(content));
        return entry;
    }

    net::awaitable<bool> serve(net::http_exchange& exchange) {
        co_await calls_.serve(exchange);
        co_return true;
    }

    void append(const ledger::record& content) {
        boost::asio::post(threads_.get(), [this, entry = entry_of(offset_++, content)] {
            const std::vector<ledger::stream_entry> entries{entry};
            claims_.apply(entries, node_context::now());
        });
    }

    net::test_context threads_;
    std::uint64_t offset_ = 0;
    node_context context_;
    config_table config_;
    member_table members_{"writer", {}};
    endpoint_directory directory_;
    net::http_client http_{threads_.get()};
    claim_table claims_{{[this](const ledger::record& content) { append(content); },
                         [] { return true; }, [](ledger::session_id) { return true; }},
                        [this](auto number, const auto& step) { calls_.on_step(number, step); }};
    key_inquiry inquiry_{context_,
                         members_,
                         {[](std::string_view, const support::json&) { return false; },
                          [this](std::string_view key) { return claims_.may_have_run(key); }}};
    plain_calls calls_{{context_, config_, directory_, claims_, inquiry_, http_}};
};

std::string outcome_of(const net::http_response& response) {
    const auto body = support::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("outcome", "") : std::string{};
}

/// Whole, truncated and invalid responses of plain endpoints, as callers of `node` see them.
class plain_response_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_response_test);
    CPPUNIT_TEST(caller_of_node_gets_only_whole_valid_responses);
    CPPUNIT_TEST(call_to_silent_endpoint_gets_504_after_its_deadline);
    CPPUNIT_TEST(call_to_closed_endpoint_gets_503_that_has_not_run);
    CPPUNIT_TEST(refusal_is_passed_on_only_with_explicit_promise);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a status that promises that a call has not run although it may have, against
    /// parts of responses, and against calls that run twice.
    void caller_of_node_gets_only_whole_valid_responses() {
        for (const auto& item : net::response_cases()) {
            for (const std::string kind : {"unsafe", "safe"}) {
                expect_case(for_node(item), kind);
            }
        }
        report_.assert_none();
    }

    void call_to_silent_endpoint_gets_504_after_its_deadline() {
        net::concurrent_server endpoint([](net::raw_connection& peer) { peer.read_all(); });
        expect_refusal({endpoint.address()}, 504, "unknown", std::chrono::milliseconds{100});
    }

    void call_to_closed_endpoint_gets_503_that_has_not_run() {
        std::string address;
        {
            const net::scripted_server closed({});
            address = closed.address();
        }
        expect_refusal({address}, 503, "not_run", patience);
    }

    /// Guards against a status 408, 421, 429 or 503 of an endpoint that has run the call.
    void refusal_is_passed_on_only_with_explicit_promise() {
        for (const std::string status : {"408 A", "421 B", "429 C", "503 D"}) {
            for (const bool promised : {false, true}) {
                const std::string text = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" +
                                         (promised ? "X-Not-Run: true\r\n\r\n" : "\r\n");
                const net::case_endpoint endpoint({status, text});
                expect_refusal({endpoint.address()}, promised ? 503 : 502,
                               promised ? "not_run" : "unknown", patience);
            }
        }
    }

private:
    static constexpr std::chrono::milliseconds patience{10'000};

    /// Returns the case in the interface of `node`, which knows no signatures.
    static net::response_case for_node(net::response_case item) {
        if (const auto at = item.text.find("Not-Run: 1"); at != std::string::npos) {
            item.text.replace(at, 10, "X-Not-Run: true");
        }
        if (item.name == "500-not-run") {
            item.result = response_result::complete;
            item.status = 500;
        }
        return item;
    }

    void expect_case(const net::response_case& item, const std::string& kind) {
        net::case_endpoint first(item);
        net::case_endpoint second(item);
        plain_node node({first.address(), second.address()});
        const auto answer = node.call(kind, item.early ? net::upload_bytes : 0, patience);
        const int sends = first.requests() + second.requests();
        first.release();
        second.release();
        const auto id = item.name + "-" + kind;
        if (item.result == response_result::complete) {
            report_.expect(id, item.status, answer.status);
            report_.expect(id + " body", item.passed_body(), answer.body);
            report_.expect(id + " sends", 1, sends);
            return;
        }
        const bool refused = item.result == response_result::refused;
        report_.expect(id, refused ? 503 : 502, answer.status);
        report_.expect(id + " outcome", std::string(refused ? "not_run" : "unknown"),
                       outcome_of(answer));
        report_.expect(id + " sends", refused || kind == "safe" ? 2 : 1, sends);
    }

    void expect_refusal(const std::vector<std::string>& endpoints, int status,
                        const std::string& outcome, std::chrono::milliseconds limit) {
        for (const std::string kind : {"unsafe", "safe"}) {
            plain_node node(endpoints);
            const auto answer = node.call(kind, 0, limit);
            report_.expect(kind, status, answer.status);
            report_.expect(kind + " outcome", outcome, outcome_of(answer));
        }
        report_.assert_none();
    }

    net::case_report report_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_response_test);

} // namespace
