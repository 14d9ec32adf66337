#include "dragonflystair/net/http_client.h"

#include "http_server_fixture.h"

#include <atomic>
#include <future>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair::net;

class http_server_test : public http_server_fixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(request_gets_the_handlers_response);
    CPPUNIT_TEST(connection_carries_several_requests);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(expect_continue_is_answered_before_the_body);
    CPPUNIT_TEST(concurrent_callers_get_their_own_responses);
    CPPUNIT_TEST(body_in_pieces_and_in_chunks_arrives_whole);
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

public:
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
        auto connection = connect(*server);
        for (int i = 0; i < 3; ++i) {
            connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT(connection.read_until("GET ").starts_with("HTTP/1.1 200 OK"));
        }
    }

    void pipelined_requests_are_answered_in_order() {
        const auto server = start();
        auto connection = connect(*server);
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\nPUT / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(connection.read_until("GET ").ends_with("GET "));
        CPPUNIT_ASSERT(connection.read_until("PUT ").ends_with("PUT "));
    }

    void expect_continue_is_answered_before_the_body() {
        const auto server = start();
        auto connection = connect(*server);
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
        http_client client(context.get());
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
                std::async(std::launch::async, [&, caller] { return context.run(call(caller)); }));
        }
        for (auto& caller : callers) {
            CPPUNIT_ASSERT(caller.get());
        }
        CPPUNIT_ASSERT(answered > 1000);
        CPPUNIT_ASSERT(counted.value("refusals_total", "internal_error") > 0);
    }

    /// The body of a call must not change by the way in which it is sent.
    void body_in_pieces_and_in_chunks_arrives_whole() {
        const auto server = start();
        auto connection = connect(*server);
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

    void handler_that_throws_gives_500_and_server_continues() {
        const auto server = start();
        auto connection = connect(*server);
        connection.write("GET /throws HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_contains("500 Internal Server Error", connection.read_until("}"));
        assert_served(connection);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counted.value("refusals_total", "internal_error"));
    }

    void handler_without_response_gives_500() {
        assert_rejected(*start(), "GET /silent HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                        "500", "internal_error");
    }

    /// Guards against a caller that waits for a response that could not be rendered.
    void response_with_invalid_status_gives_500() {
        assert_rejected(*start(),
                        "GET /bad_status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "500",
                        "internal_error");
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
        auto connection = connect(*server);
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
        assert_hook_runs([](http_server&, raw_connection& connection) { connection.close(); });
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
        auto connection = connect(*server);
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
        http_server server(context.get(), "127.0.0.1:0", {}, handler, counted);
        {
            auto connection = connect(server);
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
        auto connection = connect(*server);
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
        auto connection = connect(*server);
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        connection.read_until("GET ");
        server->begin_shutdown();
        CPPUNIT_ASSERT_EQUAL(std::string(), connection.read_all());
    }

    /// Guards against handlers that wait forever for a caller whose connection `stop` has closed.
    void stop_runs_the_disconnect_hook() {
        assert_hook_runs([](http_server& server, raw_connection&) { server.stop(); });
    }

private:
    /// Waits for the hook of a handler that waits for its caller when `disconnect` is called.
    template <class Disconnect> void assert_hook_runs(const Disconnect& disconnect) {
        std::promise<void> disconnected;
        std::promise<void> handling;
        const auto server = start([&](http_exchange& exchange) -> awaitable<void> {
            exchange.on_disconnect([&] { disconnected.set_value(); });
            handling.set_value();
            while (!exchange.disconnected()) {
                co_await sleep_for(milliseconds(1));
            }
        });
        auto connection = connect(*server);
        connection.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        handling.get_future().wait();
        disconnect(*server, connection);
        disconnected.get_future().wait();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
