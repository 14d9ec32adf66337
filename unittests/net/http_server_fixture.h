#pragma once

#include "dragonflystair/net/http_server.h"

#include "scripted_peer.h"
#include "test_context.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::net {

using std::chrono::milliseconds;

/// Servers whose handler responds according to the path, and callers that write text.
class http_server_fixture : public CppUnit::TestFixture {
public:
    void tearDown() override { context.stop(); }

protected:
    static awaitable<void> sleep_for(milliseconds time) {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    /// Responds according to the path.
    static awaitable<void> handle(http_exchange& exchange) {
        const auto path = path_of(exchange.request().target);
        if (path == "/throws") {
            throw std::runtime_error("test");
        }
        if (path == "/silent") {
            co_return;
        }
        if (path == "/bad_status" || path == "/empty") {
            http_response response;
            response.status = path == "/empty" ? 204 : 1000;
            response.body = "ignored";
            co_await exchange.respond(std::move(response));
            co_return;
        }
        if (path == "/stream" || path == "/cut" || path == "/endless") {
            http_response head;
            head.headers["Content-Type"] = "text/event-stream";
            co_await exchange.begin_stream(std::move(head));
            std::string chunk = path == "/endless" ? std::string(100'000, 'x') : "one";
            while (co_await exchange.write(chunk) && path == "/endless") {
            }
            if (path == "/stream") {
                co_await exchange.write("two");
                co_await exchange.end_stream();
            }
            co_return;
        }
        http_response response;
        response.body = exchange.request().method + " " + exchange.request().body;
        co_await exchange.respond(std::move(response));
    }

    std::unique_ptr<http_server> start(http_handler handler = handle,
                                       http_server_limits limits = {},
                                       http_server_options options = {}) {
        auto server = std::make_unique<http_server>(
            context.get(), "127.0.0.1:0", limits, std::move(handler), counted, std::move(options));
        server->start();
        return server;
    }

    static raw_connection connect(const http_server& server) {
        return raw_connection::to(server.address());
    }

    /// Sends `text` and returns everything that the server sends until it closes the connection.
    static std::string send_and_read_all(const http_server& server, std::string_view text) {
        auto connection = connect(server);
        connection.write(text);
        return connection.read_all();
    }

    static void assert_contains(std::string_view part, const std::string& text) {
        CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }

    static void assert_served(raw_connection& connection) {
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("200 OK", connection.read_until("GET "));
    }

    void assert_rejected(const http_server& server, std::string_view request,
                         std::string_view status, std::string_view reason) {
        const auto text = send_and_read_all(server, request);
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 " + std::string(status)));
        assert_contains("application/problem+json", text);
        assert_contains("\"reason\":\"" + std::string(reason) + "\"", text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted.value("refusals_total", reason));
    }

    test_context context;
    support::counters counted;
};

} // namespace dragonflystair::net
