#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"

#include "scripted_peer.h"
#include "test_context.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace dragonflystair::net;
using dragonflystair::support::counters;
using std::chrono::milliseconds;

awaitable<void> sleep_for(milliseconds time) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

/// Responds according to the path.
awaitable<void> handle(http_exchange& exchange) {
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

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(request_gets_the_handlers_response);
    CPPUNIT_TEST(connection_carries_several_requests);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(expect_continue_is_answered_before_the_body);
    CPPUNIT_TEST(concurrent_callers_get_their_own_responses);
    CPPUNIT_TEST(body_over_limit_is_rejected);
    CPPUNIT_TEST(chunked_body_over_limit_is_rejected);
    CPPUNIT_TEST(header_over_limit_is_rejected);
    CPPUNIT_TEST(text_that_is_not_http_is_rejected);
    CPPUNIT_TEST(slow_sender_is_rejected);
    CPPUNIT_TEST(slow_body_is_rejected_after_its_head);
    CPPUNIT_TEST(body_in_pieces_and_in_chunks_arrives_whole);
    CPPUNIT_TEST(too_many_header_fields_are_rejected);
    CPPUNIT_TEST(request_refused_from_its_head_keeps_the_connection);
    CPPUNIT_TEST(long_body_is_refused_before_it_is_sent);
    CPPUNIT_TEST(body_without_room_is_refused_and_others_are_served);
    CPPUNIT_TEST(requests_sent_ahead_leave_room_for_new_connections);
    CPPUNIT_TEST(idle_connections_make_room_for_new_ones);
    CPPUNIT_TEST(handler_that_throws_gives_500_and_server_continues);
    CPPUNIT_TEST(handler_without_response_gives_500);
    CPPUNIT_TEST(response_with_invalid_status_gives_500);
    CPPUNIT_TEST(response_without_content_is_sent_without_body);
    CPPUNIT_TEST(stream_is_sent_in_chunks);
    CPPUNIT_TEST(unfinished_stream_is_closed_without_last_chunk);
    CPPUNIT_TEST(stream_to_http_1_0_ends_with_the_connection);
    CPPUNIT_TEST(head_request_gets_no_body);
    CPPUNIT_TEST(caller_that_disconnected_before_read_is_detected);
    CPPUNIT_TEST(caller_that_disconnects_runs_the_hook);
    CPPUNIT_TEST(caller_that_does_not_read_ends_the_stream);
    CPPUNIT_TEST(shutdown_lets_the_exchange_finish);
    CPPUNIT_TEST(shutdown_closes_idle_connections);
    CPPUNIT_TEST(stop_runs_the_disconnect_hook);
    CPPUNIT_TEST_SUITE_END();

    test_context context_;
    counters counters_;

    /// Starts a server that refuses the path `/refused` from the head.
    std::unique_ptr<http_server> start_refusing() {
        http_server_options options;
        options.check_head = [](const http_request& head) -> std::optional<http_response> {
            if (head.target != "/refused") {
                return std::nullopt;
            }
            return http_response{404, {}, "refused"};
        };
        return start(handle, {}, std::move(options));
    }

    std::unique_ptr<http_server> start(http_handler handler = handle,
                                       http_server_limits limits = {},
                                       http_server_options options = {}) {
        auto server =
            std::make_unique<http_server>(context_.get(), "127.0.0.1:0", limits, std::move(handler),
                                          counters_, std::move(options));
        server->start();
        return server;
    }

    /// Sends `text` and returns everything that the server sends until it closes the connection.
    static std::string send_and_read_all(const http_server& server, std::string_view text) {
        auto connection = raw_connection::to(server.address());
        connection.write(text);
        return connection.read_all();
    }

    static void assert_contains(std::string_view part, const std::string& text) {
        CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }

    void assert_rejected(const std::string& text, std::string_view status,
                         std::string_view reason) {
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 " + std::string(status)));
        assert_contains("application/problem+json", text);
        assert_contains("\"reason\":\"" + std::string(reason) + "\"", text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters_.value("refusals_total", reason));
    }

public:
    void tearDown() override { context_.stop(); }

    void request_gets_the_handlers_response() {
        const auto server = start();
        const auto text =
            send_and_read_all(*server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                                       "Connection: close\r\n\r\nabc");
        CPPUNIT_ASSERT(text.starts_with("HTTP/1.1 200 OK\r\n"));
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nPOST abc"));
    }

    void connection_carries_several_requests() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        for (int i = 0; i < 3; ++i) {
            connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT(connection.read_until("GET ").starts_with("HTTP/1.1 200 OK"));
        }
    }

    void pipelined_requests_are_answered_in_order() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\nPUT / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(connection.read_until("GET ").ends_with("GET "));
        CPPUNIT_ASSERT(connection.read_until("PUT ").ends_with("PUT "));
    }

    void expect_continue_is_answered_before_the_body() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        connection.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                         "Expect: 100-continue\r\n\r\n");
        assert_contains("100 Continue", connection.read_until("\r\n\r\n"));
        connection.write("abc");
        assert_contains("200 OK", connection.read_until("POST abc"));
    }

    /// Guards against responses that reach the wrong caller when other requests time out or fail.
    void concurrent_callers_get_their_own_responses() {
        std::atomic<int> handled{0};
        const auto server = start([&](http_exchange& exchange) -> awaitable<void> {
            if (++handled % 7 == 0) {
                throw std::runtime_error("test");
            }
            co_await sleep_for(milliseconds(handled % 5));
            http_response response;
            response.body = exchange.request().body;
            co_await exchange.respond(std::move(response));
        });
        http_client client(context_.get());
        std::atomic<int> answered{0};
        const auto call = [&](int caller) -> awaitable<bool> {
            for (int i = 0; i < 200; ++i) {
                http_request request;
                request.method = "POST";
                request.body = std::to_string(caller) + "/" + std::to_string(i);
                const auto sent = request.body;
                auto response = co_await client.request(server->address(), std::move(request),
                                                        milliseconds(i % 3 == 0 ? 2 : 20'000));
                if (response && response.value().status == 200) {
                    ++answered;
                    if (response.value().body != sent) {
                        co_return false;
                    }
                }
            }
            co_return true;
        };
        std::vector<std::future<bool>> callers;
        callers.reserve(16);
        for (int caller = 0; caller < 16; ++caller) {
            callers.push_back(
                std::async(std::launch::async, [&, caller] { return context_.run(call(caller)); }));
        }
        for (auto& caller : callers) {
            CPPUNIT_ASSERT(caller.get());
        }
        CPPUNIT_ASSERT(answered > 1000);
        CPPUNIT_ASSERT(counters_.value("refusals_total", "internal_error") > 0);
    }

    /// The rejection must be sent before the whole body is received, and must not be lost to a
    /// reset.
    void body_over_limit_is_rejected() {
        const auto server = start();
        assert_rejected(
            send_and_read_all(*server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n"
                                       "\r\n" +
                                           std::string(500'000, 'x')),
            "413", "body_too_large");
    }

    void chunked_body_over_limit_is_rejected() {
        http_server_limits limits;
        limits.body_bytes = 10;
        const auto server = start(handle, limits);
        assert_rejected(send_and_read_all(
                            *server, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                                     "\r\n8\r\n12345678\r\n8\r\n12345678\r\n"),
                        "413", "body_too_large");
    }

    void header_over_limit_is_rejected() {
        const auto server = start();
        assert_rejected(send_and_read_all(*server, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " +
                                                       std::string(std::size_t{17} * 1024, 'x')),
                        "431", "header_too_large");
    }

    void text_that_is_not_http_is_rejected() {
        const auto server = start();
        assert_rejected(send_and_read_all(*server, "hello\r\n\r\n"), "400", "malformed_http");
    }

    /// Guards against callers that occupy connections by sending a byte from time to time.
    void slow_sender_is_rejected() {
        http_server_limits limits;
        limits.request_timeout = milliseconds(100);
        const auto server = start(handle, limits);
        assert_rejected(send_and_read_all(*server, "GET / HTTP/1.1\r\nHost:"), "408",
                        "slow_request");
    }

    /// Guards against bodies that stop just short of their end and stay in memory.
    void slow_body_is_rejected_after_its_head() {
        http_server_limits limits;
        limits.request_timeout = milliseconds(100);
        const auto server = start(handle, limits);
        assert_rejected(send_and_read_all(
                            *server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n1234"),
                        "408", "slow_request");
    }

    /// The body of a call must not change by the way in which it is sent.
    void body_in_pieces_and_in_chunks_arrives_whole() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        std::string body;
        for (int i = 0; i < 5'000; ++i) {
            body += std::to_string(i) + ".";
        }
        connection.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n");
        for (std::size_t sent = 0; sent < body.size(); sent += 7'001) {
            connection.write(body.substr(sent, 7'001));
        }
        assert_contains(body, connection.read_until("4999."));
        connection.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
                         "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("POST abcde", connection.read_until("GET "));
    }

    /// Each field takes many times the memory of its text.
    void too_many_header_fields_are_rejected() {
        const auto server = start();
        std::string fields;
        for (int i = 0; i < 300; ++i) {
            fields += std::to_string(i) + ":b\r\n";
        }
        assert_rejected(
            send_and_read_all(*server, "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n"), "431",
            "too_many_fields");
    }

    /// Guards against a refused caller that must open a new connection for its next call.
    void request_refused_from_its_head_keeps_the_connection() {
        const auto server = start_refusing();
        auto connection = raw_connection::to(server->address());
        connection.write("POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n");
        assert_contains("404 Not Found", connection.read_until("refused"));
        connection.write("12345GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("200 OK", connection.read_until("GET "));
    }

    void long_body_is_refused_before_it_is_sent() {
        const auto server = start_refusing();
        const auto text = send_and_read_all(
            *server, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n");
        assert_contains("404 Not Found", text);
        assert_contains("Connection: close", text);
    }

    /// Guards against bodies in transfer that together take more memory than the process has.
    void body_without_room_is_refused_and_others_are_served() {
        http_server_options options;
        options.capacity.held_bytes = std::size_t{400} * 1024;
        const auto server = start(handle, {}, std::move(options));
        const auto text = send_and_read_all(
            *server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 390000\r\n\r\n" +
                         std::string(389'999, 'x'));
        assert_rejected(text, "503", "no_room");
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("200 OK", connection.read_until("GET "));
    }

    /// Guards against callers that send requests ahead of responses and take all the room: a new
    /// connection was closed without a response.
    void requests_sent_ahead_leave_room_for_new_connections() {
        constexpr std::size_t held_bytes = std::size_t{128} * 1024;
        http_server_options options;
        options.capacity.held_bytes = held_bytes;
        const auto server = start(
            [](http_exchange& exchange) -> awaitable<void> {
                if (exchange.request().target == "/waits") {
                    co_await sleep_for(milliseconds(60'000));
                }
                co_await handle(exchange);
            },
            {}, std::move(options));
        std::vector<raw_connection> senders;
        for (int i = 0; i < 4; ++i) {
            senders.push_back(raw_connection::to(server->address()));
            senders.back().write("GET /waits HTTP/1.1\r\nHost: a\r\n\r\n" +
                                 std::string(40'000, 'x'));
        }
        while (server->open_exchanges() < senders.size()) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        // The server reads ahead meanwhile, on former code until all its room was taken.
        std::this_thread::sleep_for(milliseconds(50));
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("200 OK", connection.read_until("GET "));
    }

    void idle_connections_make_room_for_new_ones() {
        http_server_options options;
        options.capacity.connections = 2;
        const auto server = start(handle, {}, std::move(options));
        auto first = raw_connection::to(server->address());
        auto second = raw_connection::to(server->address());
        auto third = raw_connection::to(server->address());
        third.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("200 OK", third.read_until("GET "));
        CPPUNIT_ASSERT(counters_.value("caller_limits_total", "closed_for_room") > 0);
    }

    void handler_that_throws_gives_500_and_server_continues() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        connection.write("GET /throws HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("500 Internal Server Error", connection.read_until("}"));
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("200 OK", connection.read_until("GET "));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters_.value("refusals_total", "internal_error"));
    }

    void handler_without_response_gives_500() {
        const auto server = start();
        assert_rejected(
            send_and_read_all(*server,
                              "GET /silent HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
            "500", "internal_error");
    }

    /// Guards against a caller that waits for a response that could not be rendered.
    void response_with_invalid_status_gives_500() {
        const auto server = start();
        assert_rejected(
            send_and_read_all(*server,
                              "GET /bad_status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"),
            "500", "internal_error");
    }

    void response_without_content_is_sent_without_body() {
        const auto server = start();
        const auto text = send_and_read_all(
            *server, "GET /empty HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 204 No Content\r\n"));
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\n"));
    }

    void stream_is_sent_in_chunks() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        connection.write("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto text = connection.read_until("\r\n0\r\n\r\n");
        assert_contains("Transfer-Encoding: chunked\r\n", text);
        assert_contains("\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n", text);
    }

    /// Guards against a truncated response that looks complete to the caller.
    void unfinished_stream_is_closed_without_last_chunk() {
        const auto server = start();
        const auto text = send_and_read_all(*server, "GET /cut HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\n3\r\none\r\n"));
    }

    void stream_to_http_1_0_ends_with_the_connection() {
        const auto server = start();
        const auto text = send_and_read_all(*server, "GET /stream HTTP/1.0\r\n\r\n");
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\nonetwo"));
    }

    void head_request_gets_no_body() {
        const auto server = start();
        const auto text =
            send_and_read_all(*server, "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assert_contains("Content-Length: 5\r\n", text);
        CPPUNIT_ASSERT(text.ends_with("\r\n\r\n"));
    }

    /// A caller that disconnects during a long response must be detected without a write.
    void caller_that_disconnects_runs_the_hook() {
        std::promise<void> disconnected;
        std::promise<void> handling;
        const auto server = start([&](http_exchange& exchange) -> awaitable<void> {
            exchange.on_disconnect([&] { disconnected.set_value(); });
            handling.set_value();
            while (!exchange.disconnected()) {
                co_await sleep_for(milliseconds(1));
            }
        });
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        handling.get_future().wait();
        connection.close();
        disconnected.get_future().wait();
    }

    void caller_that_does_not_read_ends_the_stream() {
        std::promise<bool> ended;
        http_server_limits limits;
        limits.write_timeout = milliseconds(100);
        const auto server = start(
            [&](http_exchange& exchange) -> awaitable<void> {
                co_await handle(exchange);
                ended.set_value(exchange.disconnected());
            },
            limits);
        auto connection = raw_connection::to(server->address());
        connection.write("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(ended.get_future().get());
    }

    /// Guards against work for callers that disconnected while this process was suspended. The
    /// connection is opened, used and closed before the server accepts it.
    void caller_that_disconnected_before_read_is_detected() {
        std::promise<bool> disconnected;
        const http_handler handler = [&](http_exchange& exchange) -> awaitable<void> {
            disconnected.set_value(exchange.disconnected());
            co_return;
        };
        http_server server(context_.get(), "127.0.0.1:0", {}, handler, counters_);
        {
            auto connection = raw_connection::to(server.address());
            connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            connection.close();
        }
        server.start();
        CPPUNIT_ASSERT(disconnected.get_future().get());
    }

    /// Guards against a planned shutdown that aborts a request in flight.
    void shutdown_lets_the_exchange_finish() {
        std::promise<void> handling;
        std::promise<void> proceed;
        auto released = proceed.get_future().share();
        const auto server = start([&](http_exchange& exchange) -> awaitable<void> {
            handling.set_value();
            while (released.wait_for(milliseconds(0)) != std::future_status::ready) {
                co_await sleep_for(milliseconds(1));
            }
            co_await handle(exchange);
        });
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        handling.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server->open_exchanges());
        server->begin_shutdown();
        proceed.set_value();
        const auto text = connection.read_all();
        assert_contains("200 OK", text);
        assert_contains("Connection: close", text);
        CPPUNIT_ASSERT(text.ends_with("GET "));
    }

    void shutdown_closes_idle_connections() {
        const auto server = start();
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        connection.read_until("GET ");
        server->begin_shutdown();
        CPPUNIT_ASSERT_EQUAL(std::string(), connection.read_all());
    }

    /// Guards against handlers that wait forever for a caller whose connection `stop` has closed.
    void stop_runs_the_disconnect_hook() {
        std::promise<void> disconnected;
        std::promise<void> handling;
        const auto server = start([&](http_exchange& exchange) -> awaitable<void> {
            exchange.on_disconnect([&] { disconnected.set_value(); });
            handling.set_value();
            while (!exchange.disconnected()) {
                co_await sleep_for(milliseconds(1));
            }
        });
        auto connection = raw_connection::to(server->address());
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        handling.get_future().wait();
        server->stop();
        disconnected.get_future().wait();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
