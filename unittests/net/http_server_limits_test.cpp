#include "http_server_fixture.h"

#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair::net;

/// Requests that the server refuses for their size, form, duration or memory.
class http_server_limits_test : public http_server_fixture {
    CPPUNIT_TEST_SUITE(http_server_limits_test);
    CPPUNIT_TEST(body_over_limit_is_rejected);
    CPPUNIT_TEST(chunked_body_over_limit_is_rejected);
    CPPUNIT_TEST(header_over_limit_is_rejected);
    CPPUNIT_TEST(text_that_is_not_http_is_rejected);
    CPPUNIT_TEST(slow_sender_is_rejected);
    CPPUNIT_TEST(slow_body_is_rejected_after_its_head);
    CPPUNIT_TEST(too_many_header_fields_are_rejected);
    CPPUNIT_TEST(request_refused_from_its_head_keeps_the_connection);
    CPPUNIT_TEST(long_body_is_refused_before_it_is_sent);
    CPPUNIT_TEST(body_without_room_is_refused_and_others_are_served);
    CPPUNIT_TEST(requests_sent_ahead_leave_room_for_new_connections);
    CPPUNIT_TEST(idle_connections_make_room_for_new_ones);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The rejection must be sent before the whole body is received, and must not be lost to a
    /// reset.
    void body_over_limit_is_rejected() {
        assert_rejected(*start(),
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n" +
                            std::string(500'000, 'x'),
                        "413", "body_too_large");
    }

    void chunked_body_over_limit_is_rejected() {
        http_server_limits limits;
        limits.body_bytes = 10;
        assert_rejected(*start(handle, limits),
                        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                        "\r\n8\r\n12345678\r\n8\r\n12345678\r\n",
                        "413", "body_too_large");
    }

    void header_over_limit_is_rejected() {
        assert_rejected(*start(),
                        "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " +
                            std::string(std::size_t{17} * 1024, 'x'),
                        "431", "header_too_large");
    }

    void text_that_is_not_http_is_rejected() {
        assert_rejected(*start(), "hello\r\n\r\n", "400", "malformed_http");
    }

    /// Guards against callers that occupy connections by sending a byte from time to time.
    void slow_sender_is_rejected() {
        http_server_limits limits;
        limits.request_timeout = milliseconds(100);
        assert_rejected(*start(handle, limits), "GET / HTTP/1.1\r\nHost:", "408", "slow_request");
    }

    /// Guards against bodies that stop just short of their end and stay in memory.
    void slow_body_is_rejected_after_its_head() {
        http_server_limits limits;
        limits.request_timeout = milliseconds(100);
        assert_rejected(*start(handle, limits),
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n1234", "408",
                        "slow_request");
    }

    /// Each field takes many times the memory of its text.
    void too_many_header_fields_are_rejected() {
        std::string fields;
        for (int i = 0; i < 300; ++i) {
            fields += std::to_string(i) + ":b\r\n";
        }
        assert_rejected(*start(), "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n", "431",
                        "too_many_fields");
    }

    /// Guards against a refused caller that must open a new connection for its next call.
    void request_refused_from_its_head_keeps_the_connection() {
        const auto server = start_refusing();
        auto connection = connect(*server);
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
        assert_rejected(*server,
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 390000\r\n\r\n" +
                            std::string(389'999, 'x'),
                        "503", "no_room");
        auto connection = connect(*server);
        assert_served(connection);
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
            senders.push_back(connect(*server));
            senders.back().write("GET /waits HTTP/1.1\r\nHost: a\r\n\r\n" +
                                 std::string(40'000, 'x'));
        }
        while (server->open_exchanges() < senders.size()) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        // The server reads ahead meanwhile, on former code until all its room was taken.
        std::this_thread::sleep_for(milliseconds(50));
        auto connection = connect(*server);
        assert_served(connection);
    }

    void idle_connections_make_room_for_new_ones() {
        http_server_options options;
        options.capacity.connections = 2;
        const auto server = start(handle, {}, std::move(options));
        auto first = connect(*server);
        auto second = connect(*server);
        auto third = connect(*server);
        assert_served(third);
        CPPUNIT_ASSERT(counted.value("caller_limits_total", "closed_for_room") > 0);
    }

private:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_limits_test);

} // namespace
