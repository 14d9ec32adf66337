#include "dragonflystair/net/http_client.h"

#include "scripted_peer.h"
#include "test_context.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace dragonflystair::net;
using dragonflystair::support::error_kind;
using std::chrono::milliseconds;

constexpr milliseconds long_timeout{20'000};
constexpr milliseconds short_timeout{200};
constexpr std::string_view ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

void read_request(raw_connection& connection) {
    connection.read_until("\r\n\r\n");
}

void serve_once(raw_connection& connection) {
    read_request(connection);
    connection.write(ok_response);
}

void serve_until_closed(raw_connection& connection) {
    while (connection.read_until("\r\n\r\n").ends_with("\r\n\r\n")) {
        connection.write(ok_response);
    }
}

std::string response_with(std::string_view headers, std::string_view body) {
    return "HTTP/1.1 200 OK\r\n" + std::string(headers) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

http_request request_with_id(std::string id) {
    http_request request;
    request.method = "POST";
    request.headers["Id"] = std::move(id);
    return request;
}

http_request post() {
    http_request request;
    request.method = "POST";
    return request;
}

class http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(request_to_closed_port_is_unavailable);
    CPPUNIT_TEST(request_with_bad_address_is_malformed);
    CPPUNIT_TEST(header_with_line_break_is_malformed);
    CPPUNIT_TEST(connect_that_times_out_is_unavailable);
    CPPUNIT_TEST(interim_response_is_skipped);
    CPPUNIT_TEST(server_closes_before_reading_is_unknown);
    CPPUNIT_TEST(server_closes_after_reading_is_unknown);
    CPPUNIT_TEST(server_resets_after_reading_is_unknown);
    CPPUNIT_TEST(server_closes_within_response_is_unknown);
    CPPUNIT_TEST(silent_server_is_unknown);
    CPPUNIT_TEST(response_that_is_not_http_is_malformed);
    CPPUNIT_TEST(second_request_reuses_the_connection);
    CPPUNIT_TEST(request_without_reuse_opens_a_new_connection);
    CPPUNIT_TEST(idle_connection_closed_by_server_is_replaced);
    CPPUNIT_TEST(get_without_response_on_reused_connection_is_sent_again);
    CPPUNIT_TEST(get_with_truncated_response_on_reused_connection_is_unknown);
    CPPUNIT_TEST(post_without_response_on_reused_connection_is_unknown);
    CPPUNIT_TEST(late_copy_of_earlier_response_is_skipped);
    CPPUNIT_TEST(response_without_id_of_server_that_echoes_ids_is_unknown);
    CPPUNIT_TEST(response_with_two_ids_of_server_that_echoes_ids_is_unknown);
    CPPUNIT_TEST(response_of_server_that_echoes_no_id_is_accepted);
    CPPUNIT_TEST(request_without_id_opens_a_new_connection);
    CPPUNIT_TEST(endless_responses_to_other_requests_are_malformed);
    CPPUNIT_TEST(stream_delivers_chunks_and_the_end);
    CPPUNIT_TEST(truncated_stream_is_unknown);
    CPPUNIT_TEST(silent_stream_is_unknown);
    CPPUNIT_TEST(closed_stream_ends_a_pending_read);
    CPPUNIT_TEST_SUITE_END();

    test_context context_;
    std::unique_ptr<http_client> client_ = std::make_unique<http_client>(context_.get());

    async_result<http_response> send(const std::string& address, http_request request = {},
                                     milliseconds timeout = long_timeout, bool reuse = true) {
        return context_.run(client_->request(address, std::move(request), timeout, reuse));
    }

    /// Makes the client match responses by the header `Id`.
    void match_ids() {
        client_ = std::make_unique<http_client>(context_.get(), http_client::log_page_bytes, "Id");
    }

    void assert_error(error_kind kind, const async_result<http_response>& result) {
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error().message, std::string(to_string(kind)),
                                     std::string(to_string(result.error().kind)));
    }

    /// Asserts the error kind of a request on a new connection to a server that runs `script`.
    void assert_fails(error_kind kind, scripted_server::script script,
                      milliseconds timeout = long_timeout) {
        scripted_server server({std::move(script)});
        assert_error(kind, send(server.address(), post(), timeout));
    }

public:
    void request_to_closed_port_is_unavailable() {
        std::string address;
        {
            const scripted_server server({});
            address = server.address();
        }
        assert_error(error_kind::unavailable, send(address));
    }

    void request_with_bad_address_is_malformed() {
        assert_error(error_kind::malformed, send("localhost"));
        assert_error(error_kind::malformed, send("127.0.0.1:99999"));
    }

    /// Guards against untrusted values that inject a header or a second request.
    void header_with_line_break_is_malformed() {
        http_request request;
        request.headers["X-Test"] = "a\r\nX-Other: b";
        assert_error(error_kind::malformed, send("127.0.0.1:1", std::move(request)));
        http_request target;
        target.target = "/ HTTP/1.1\r\n\r\nGET /";
        assert_error(error_kind::malformed, send("127.0.0.1:1", std::move(target)));
    }

    /// A full accept queue makes the kernel ignore further connections.
    void connect_that_times_out_is_unavailable() {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context);
        acceptor.open(tcp::v4());
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen(0);
        std::vector<tcp::socket> waiting;
        for (int i = 0; i < 4; ++i) {
            waiting.emplace_back(context).async_connect(acceptor.local_endpoint(),
                                                        [](boost::system::error_code) {});
        }
        context.poll();
        const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        assert_error(error_kind::unavailable, send(address, post(), short_timeout));
    }

    /// Guards against an interim response (1xx) that is taken for the final response.
    void interim_response_is_skipped() {
        scripted_server server({[](raw_connection& peer) {
            read_request(peer);
            peer.write("HTTP/1.1 103 Early Hints\r\n\r\n");
            peer.write(ok_response);
        }});
        const auto response = send(server.address());
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(200, response.value().status);
    }

    /// Guards against `unavailable` for a request that the server may have read.
    void server_closes_before_reading_is_unknown() {
        assert_fails(error_kind::unknown, [](raw_connection& peer) { peer.close(); });
    }

    void server_closes_after_reading_is_unknown() {
        assert_fails(error_kind::unknown, read_request);
    }

    void server_resets_after_reading_is_unknown() {
        assert_fails(error_kind::unknown, [](raw_connection& peer) {
            read_request(peer);
            peer.reset();
        });
    }

    void server_closes_within_response_is_unknown() {
        assert_fails(error_kind::unknown, [](raw_connection& peer) {
            read_request(peer);
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        });
    }

    void silent_server_is_unknown() {
        assert_fails(
            error_kind::unknown,
            [](raw_connection& peer) {
                read_request(peer);
                peer.read_all();
            },
            short_timeout);
    }

    void response_that_is_not_http_is_malformed() {
        assert_fails(error_kind::malformed, [](raw_connection& peer) {
            read_request(peer);
            peer.write("SSH-2.0-server\r\n\r\n");
            peer.read_all();
        });
    }

    void second_request_reuses_the_connection() {
        scripted_server server({serve_until_closed, serve_until_closed});
        CPPUNIT_ASSERT(send(server.address()));
        CPPUNIT_ASSERT(send(server.address(), post()));
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
        client_.reset();
    }

    /// Guards non-idempotent calls against a connection on which `unavailable` is never certain.
    void request_without_reuse_opens_a_new_connection() {
        scripted_server server({serve_once, serve_once});
        CPPUNIT_ASSERT(send(server.address()));
        CPPUNIT_ASSERT(send(server.address(), post(), long_timeout, false));
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
    }

    /// Guards against an error when a server closes an idle connection, as HTTP permits.
    void idle_connection_closed_by_server_is_replaced() {
        scripted_server server({serve_once, serve_once});
        CPPUNIT_ASSERT(send(server.address()));
        server.wait_for_closed(1);
        CPPUNIT_ASSERT(send(server.address(), post()));
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
    }

    void get_without_response_on_reused_connection_is_sent_again() {
        scripted_server server({[](raw_connection& peer) {
                                    serve_once(peer);
                                    read_request(peer);
                                },
                                serve_once});
        CPPUNIT_ASSERT(send(server.address()));
        CPPUNIT_ASSERT(send(server.address()));
    }

    void get_with_truncated_response_on_reused_connection_is_unknown() {
        scripted_server server({[](raw_connection& peer) {
                                    serve_once(peer);
                                    read_request(peer);
                                    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                                },
                                serve_once});
        CPPUNIT_ASSERT(send(server.address()));
        assert_error(error_kind::unknown, send(server.address()));
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
    }

    /// Guards against executing a request twice that the server may have read.
    void post_without_response_on_reused_connection_is_unknown() {
        scripted_server server({[](raw_connection& peer) {
                                    serve_once(peer);
                                    read_request(peer);
                                },
                                serve_once});
        CPPUNIT_ASSERT(send(server.address()));
        assert_error(error_kind::unknown, send(server.address(), post()));
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
    }

    /// Sends requests with the ids 1 and 2 to a server that echoes ids. It responds to the first
    /// with its id and to the second with `second`.
    async_result<http_response> send_second(const std::string& second) {
        match_ids();
        scripted_server server({[&](raw_connection& peer) {
            read_request(peer);
            peer.write(response_with("Id: 1\r\n", "first"));
            read_request(peer);
            peer.write(second);
            peer.read_all();
        }});
        const auto first = send(server.address(), request_with_id("1"));
        auto result = send(server.address(), request_with_id("2"));
        // The server reads until the connection closes.
        client_.reset();
        CPPUNIT_ASSERT(first);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), first.value().body);
        return result;
    }

    void late_copy_of_earlier_response_is_skipped() {
        const auto response =
            send_second(response_with("Id: 1\r\n", "first") + response_with("Id: 2\r\n", "second"));
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), response.value().body);
    }

    /// Guards against a late copy that no id tells from the response.
    void response_without_id_of_server_that_echoes_ids_is_unknown() {
        assert_error(error_kind::unknown, send_second(std::string(ok_response)));
    }

    void response_with_two_ids_of_server_that_echoes_ids_is_unknown() {
        assert_error(error_kind::unknown,
                     send_second(response_with("Id: 1\r\nId: 2\r\n", "either")));
    }

    void response_of_server_that_echoes_no_id_is_accepted() {
        match_ids();
        const concurrent_server server(serve_until_closed);
        const auto first = send(server.address(), request_with_id("1"));
        const auto second = send(server.address(), request_with_id("2"));
        client_.reset();
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
    }

    void request_without_id_opens_a_new_connection() {
        match_ids();
        const concurrent_server server([](raw_connection& peer) {
            while (!peer.read_until("\r\n\r\n").empty()) {
                peer.write(response_with("Id: 1\r\n", "first"));
            }
        });
        const auto first = send(server.address(), request_with_id("1"));
        const auto second = send(server.address(), post(), short_timeout);
        client_.reset();
        CPPUNIT_ASSERT(first);
        assert_error(error_kind::unknown, second);
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
    }

    void endless_responses_to_other_requests_are_malformed() {
        constexpr std::size_t total_bytes = std::size_t{4} * 1024 * 1024;
        const auto copy = response_with("Id: 1\r\n", std::string(4'000, 'x'));
        std::string copies;
        while (copies.size() < total_bytes) {
            copies += copy;
        }
        assert_error(error_kind::malformed, send_second(copies));
    }

    /// Opens a stream to a server.
    std::unique_ptr<http_body_stream> open(const scripted_server& server) {
        auto stream = context_.run(client_->open_stream(server.address(), {}, long_timeout));
        CPPUNIT_ASSERT(stream);
        return std::move(stream.value());
    }

    static scripted_server::script chunked(std::string chunks, bool wait_for_close) {
        return [chunks = std::move(chunks), wait_for_close](raw_connection& peer) {
            read_request(peer);
            peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
            if (wait_for_close) {
                peer.read_all();
            }
        };
    }

    void stream_delivers_chunks_and_the_end() {
        const scripted_server server({chunked("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false)});
        const auto stream = open(server);
        std::string text;
        while (true) {
            const auto chunk = context_.run(stream->read(long_timeout));
            CPPUNIT_ASSERT(chunk);
            if (!chunk.value()) {
                break;
            }
            text += *chunk.value();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), text);
    }

    /// Guards against a truncated response that is taken for a complete one.
    void truncated_stream_is_unknown() {
        const scripted_server server({chunked("3\r\nabc\r\n", false)});
        const auto stream = open(server);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), *context_.run(stream->read(long_timeout)).value());
        const auto end = context_.run(stream->read(long_timeout));
        CPPUNIT_ASSERT(!end);
        CPPUNIT_ASSERT(end.error().kind == error_kind::unknown);
    }

    void silent_stream_is_unknown() {
        const scripted_server server({chunked("3\r\nabc\r\n", true)});
        const auto stream = open(server);
        CPPUNIT_ASSERT(context_.run(stream->read(long_timeout)));
        const auto end = context_.run(stream->read(short_timeout));
        CPPUNIT_ASSERT(!end);
        CPPUNIT_ASSERT(end.error().kind == error_kind::unknown);
    }

    void closed_stream_ends_a_pending_read() {
        const scripted_server server({chunked("", true)});
        const auto stream = open(server);
        std::thread closer([&] { stream->close(); });
        const auto end = context_.run(stream->read(long_timeout));
        closer.join();
        CPPUNIT_ASSERT(!end);
        CPPUNIT_ASSERT(end.error().kind == error_kind::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace
