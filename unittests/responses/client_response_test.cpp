#include "dragonflystair/net/exchange_client.h"
#include "dragonflystair/net/http_client.h"

#include "case_report.h"
#include "net/test_context.h"
#include "response_cases.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace dragonflystair::net;
using dragonflystair::support::error_kind;

constexpr std::chrono::milliseconds timeout{10'000};

/// Returns whether a response is whole and would be passed on.
bool is_complete(const response_case& item) {
    return item.result == response_result::complete;
}

/// Returns whether a whole response says that the call may have run, as the gateway decides.
bool is_usable(int status) {
    return status < 500;
}

/// Whole, truncated and invalid responses, early ones among them.
class client_response_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(client_response_test);
    CPPUNIT_TEST(exchange_client_completes_only_whole_valid_responses);
    CPPUNIT_TEST(http_client_returns_only_whole_valid_responses);
    CPPUNIT_TEST(body_stream_ends_regularly_only_after_whole_valid_responses);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a part of a body taken for the whole, and against a connection that is used
    /// again while it holds bytes of an earlier request or response.
    void exchange_client_completes_only_whole_valid_responses() {
        case_report report;
        for (const auto& item : response_cases()) {
            boost::asio::io_context context;
            const auto guard = boost::asio::make_work_guard(context);
            exchange_client client(context.get_executor(), "Request-Id");
            case_endpoint endpoint(item);
            const auto send = [&](const std::string& id) {
                auto sent = client.send(endpoint.address(), text_of(item, id), id, {});
                while (!sent->end && context.run_one_for(timeout) > 0) {
                }
                endpoint.release();
                return sent;
            };
            const auto first = send("1");
            const bool ended = first->end == exchange_end::complete;
            report.expect(item.name, is_complete(item), ended && is_usable(first->head->status));
            if (ended && is_complete(item)) {
                report.expect(item.name + " body", item.passed_body(), first->body);
            }
            const auto second = send("2");
            report.expect(item.name + " reuse", item.reused, second->reused_connection);
            client.cancel(first);
            client.cancel(second);
        }
        report.assert_none();
    }

    /// As above, for the client of `node`.
    void http_client_returns_only_whole_valid_responses() {
        case_report report;
        for (const auto& item : response_cases()) {
            test_context context;
            http_client client(context.get(), http_client::log_page_bytes, "Request-Id");
            case_endpoint endpoint(item);
            const auto send = [&](const std::string& id) {
                auto sent =
                    context.run(client.request(endpoint.address(), request_of(item, id), timeout));
                endpoint.release();
                return sent;
            };
            const auto first = send("1");
            report.expect(item.name, is_complete(item),
                          first.has_value() && is_usable(first.value().status));
            if (first.has_value() && is_complete(item)) {
                report.expect(item.name + " body", item.passed_body(), first.value().body);
            }
            report.expect(item.name + " not sent", false,
                          !first.has_value() && first.error().kind == error_kind::unavailable);
            report.expect(item.name + " again", first.has_value(), send("2").has_value());
            report.expect(item.name + " connections", item.reused ? 1 : 2, endpoint.connections());
        }
        report.assert_none();
    }

    /// As above, for the responses that `node` reads in parts.
    void body_stream_ends_regularly_only_after_whole_valid_responses() {
        case_report report;
        for (const auto& item : response_cases()) {
            test_context context;
            http_client client(context.get());
            case_endpoint endpoint(item);
            const auto opened =
                context.run(client.open_stream(endpoint.address(), request_of(item, "1"), timeout));
            bool whole = opened.has_value();
            while (whole) {
                const auto part = context.run(opened.value()->read(timeout));
                whole = part.has_value();
                if (whole && !part.value()) {
                    break;
                }
            }
            endpoint.release();
            report.expect(item.name, is_complete(item),
                          whole && is_usable(opened.value()->head().status));
        }
        report.assert_none();
    }

private:
    static http_request request_of(const response_case& item, const std::string& id) {
        http_request request;
        request.method = "POST";
        request.headers["Request-Id"] = id;
        request.body = item.request_body();
        return request;
    }

    static std::string text_of(const response_case& item, const std::string& id) {
        const auto body = item.request_body();
        return "POST / HTTP/1.1\r\nRequest-Id: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_response_test);

} // namespace
