#include "dragonflystair/net/exchange_client.h"

#include "scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair::net;

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

std::string make_response(std::string_view id, std::string_view body) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string make_refusal(std::string_view id) {
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: " + std::string(id) +
           "\r\nContent-Length: 0\r\n\r\n";
}

std::string request_of(std::string_view id) {
    return "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: " + std::string(id) + "\r\n\r\n";
}

/// Returns the id of a request, the last header of `request_of`.
std::string id_of(std::string_view text) {
    constexpr std::string_view name = "Request-Id: ";
    const auto at = text.find(name);
    return at == std::string_view::npos
               ? std::string{}
               : std::string(text.substr(at + name.size(), text.find('\r', at) - at - name.size()));
}

/// Requests, responses that arrive incrementally, and the reuse of connections.
class exchange_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(exchange_client_test);
    CPPUNIT_TEST(whole_response_completes_and_connection_is_reused);
    CPPUNIT_TEST(request_to_closed_port_is_not_sent);
    CPPUNIT_TEST(connection_established_at_timeout_is_used);
    CPPUNIT_TEST(truncated_response_is_broken);
    CPPUNIT_TEST(response_to_earlier_request_is_skipped);
    CPPUNIT_TEST(bytes_after_response_close_the_connection);
    CPPUNIT_TEST(response_without_length_completes_at_close);
    CPPUNIT_TEST(cancelled_exchange_closes_its_connection);
    CPPUNIT_TEST(late_duplicate_is_not_taken_for_next_response);
    CPPUNIT_TEST(late_duplicate_without_id_is_broken);
    CPPUNIT_TEST(late_duplicate_without_length_is_broken);
    CPPUNIT_TEST(truncated_late_duplicate_is_broken);
    CPPUNIT_TEST(copy_of_refusal_is_not_taken_for_response_to_resent_request);
    CPPUNIT_TEST(request_without_id_gets_connection_of_its_own);
    CPPUNIT_TEST(connection_is_replaced_after_its_last_request);
    CPPUNIT_TEST(head_request_gets_connection_of_its_own);
    CPPUNIT_TEST(endless_response_is_broken_within_limits);
    CPPUNIT_TEST(endless_responses_together_exhaust_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_response_completes_and_connection_is_reused() {
        scripted_server server({[](raw_connection& connection) {
            for (const auto* id : {"1", "2"}) {
                connection.read_until("\r\n\r\n");
                connection.write(make_response(id, "ok"));
            }
        }});
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), run(server, "1")->body);
        const auto second = run(server, "2");
        CPPUNIT_ASSERT(second->end == exchange_end::complete);
        CPPUNIT_ASSERT(second->reused_connection);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client_.opened());
    }

    void request_to_closed_port_is_not_sent() {
        std::string address;
        {
            const scripted_server server({});
            address = server.address();
        }
        CPPUNIT_ASSERT(run_at(address, "1")->end == exchange_end::not_sent);
    }

    /// Guards against reporting a written request as not sent, so that it runs twice or is rejected
    /// after it has run: on a node that was suspended, the completed connect and the expired
    /// timeout are polled at the same time.
    void connection_established_at_timeout_is_used() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(make_response("1", "ok"));
        }});
        exchange_limits limits;
        limits.connect_timeout = std::chrono::milliseconds{1};
        exchange_client client(context_.get_executor(), "Request-Id", limits);
        const auto item = client.send(server.address(), std::string(request), "1", {});
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        while (!item->end) {
            context_.run_one();
        }
        CPPUNIT_ASSERT(item->end == exchange_end::complete);
        client.cancel(item);
    }

    void truncated_response_is_broken() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\npart");
        }});
        const auto item = run(server, "1");
        CPPUNIT_ASSERT(item->end == exchange_end::broken);
        CPPUNIT_ASSERT_EQUAL(200, item->head->status);
    }

    /// Guards against a response that reaches the wrong caller.
    void response_to_earlier_request_is_skipped() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(make_response("0", "late") + make_response("1", "own"));
        }});
        const auto item = run(server, "1");
        CPPUNIT_ASSERT(item->end == exchange_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("own"), item->body);
    }

    void bytes_after_response_close_the_connection() {
        scripted_server server({[](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(make_response("1", "ok") + "junk");
                                },
                                [](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(make_response("2", "ok"));
                                }});
        CPPUNIT_ASSERT(run(server, "1")->end == exchange_end::complete);
        CPPUNIT_ASSERT(!run(server, "2")->reused_connection);
    }

    void response_without_length_completes_at_close() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nall");
        }});
        const auto item = run(server, "1");
        CPPUNIT_ASSERT(item->end == exchange_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), item->body);
    }

    /// Guards against endpoints that continue to work for callers that have disconnected.
    void cancelled_exchange_closes_its_connection() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.read_all();
        }});
        const auto item = client_.send(server.address(), std::string(request), "1", {});
        context_.run_for(std::chrono::milliseconds{50});
        client_.cancel(item);
        context_.restart();
        context_.run();
        server.wait_for_closed(1);
    }

    void late_duplicate_is_not_taken_for_next_response() {
        scripted_server server({[](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(make_response("1", "ok"));
                                    connection.write(make_response("1", "copy"));
                                    connection.read_until("\r\n\r\n");
                                    connection.write(make_response("1", "copy"));
                                },
                                [](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(make_response("2", "own"));
                                }});
        run(server, "1");
        // The duplicate may arrive with the response, after it, or while the next request is in
        // flight.
        const auto second = run(server, "2");
        CPPUNIT_ASSERT(second->end != exchange_end::complete || second->body == "own");
        CPPUNIT_ASSERT(second->body != "copy");
    }

    /// Guards against a duplicate whose head looks like that of the next response.
    void late_duplicate_without_id_is_broken() {
        expect_broken_second("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy");
    }

    /// Guards against a duplicate that ends with its connection and so looks complete.
    void late_duplicate_without_length_is_broken() {
        expect_broken_second("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\ncopy");
    }

    void truncated_late_duplicate_is_broken() {
        expect_broken_second("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 300\r\n\r\nhal" +
                             make_response("2", "own"));
    }

    /// Guards against a request that runs although it was reported as not run (REFUSED, TWICE): the
    /// copy has the id of the request that is sent again.
    void copy_of_refusal_is_not_taken_for_response_to_resent_request() {
        std::atomic<bool> refuses{true};
        const concurrent_server server([&](raw_connection& connection) {
            std::string copy;
            while (true) {
                const auto id = id_of(connection.read_until("\r\n\r\n"));
                if (id.empty()) {
                    return;
                }
                if (refuses.exchange(false)) {
                    copy = make_refusal(id);
                    connection.write(copy);
                } else {
                    connection.write(copy + make_response(id, "ran"));
                }
            }
        });
        CPPUNIT_ASSERT_EQUAL(503, run_at(server.address(), "first")->head->status);
        const auto again = run_at(server.address(), "first");
        CPPUNIT_ASSERT_EQUAL(200, again->head->status);
        CPPUNIT_ASSERT(!again->reused_connection);
        // Other requests still use the connection of the refusal.
        const auto second = client_.send(server.address(), request_of("second"), "second", {});
        const auto third = client_.send(server.address(), request_of("third"), "third", {});
        context_.restart();
        while (!second->end || !third->end) {
            context_.run_one();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), second->body);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), third->body);
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
        client_.close_idle(server.address());
    }

    /// Guards against a copy that no id tells from the response.
    void request_without_id_gets_connection_of_its_own() {
        const concurrent_server server([](raw_connection& connection) {
            while (!connection.read_until("\r\n\r\n").empty()) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
            }
        });
        CPPUNIT_ASSERT(run_at(server.address(), "")->end == exchange_end::complete);
        CPPUNIT_ASSERT(!run_at(server.address(), "")->reused_connection);
        client_.close_idle(server.address());
    }

    /// Guards against the body of a late duplicate that is parsed as the response: a response to a
    /// HEAD request has no body, whatever its length header says.
    void head_request_gets_connection_of_its_own() {
        const auto copy = make_response("1", make_response("2", ""));
        const concurrent_server server([&](raw_connection& connection) {
            std::string earlier;
            for (auto text = connection.read_until("\r\n\r\n"); !text.empty();
                 text = connection.read_until("\r\n\r\n")) {
                const bool is_head = text.starts_with("HEAD ");
                connection.write(is_head ? earlier + "HTTP/1.1 404 Not Found\r\nRequest-Id: 2\r\n"
                                                     "Content-Length: 9\r\n\r\n"
                                         : copy);
                earlier = copy;
            }
        });
        const auto first = run_at(server.address(), "1");
        const auto head = client_.send(
            server.address(), "HEAD / HTTP/1.1\r\nHost: a\r\nRequest-Id: 2\r\n\r\n", "2", {});
        context_.restart();
        while (!head->end) {
            context_.run_one();
        }
        client_.close_idle(server.address());
        CPPUNIT_ASSERT_EQUAL(200, first->head->status);
        CPPUNIT_ASSERT_EQUAL(404, head->head->status);
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
    }

    /// Guards against ids that are kept without a limit.
    void connection_is_replaced_after_its_last_request() {
        exchange_limits limits;
        limits.max_requests_per_connection = 3;
        exchange_client client(context_.get_executor(), "Request-Id", limits);
        const concurrent_server server([](raw_connection& connection) {
            for (auto id = id_of(connection.read_until("\r\n\r\n")); !id.empty();
                 id = id_of(connection.read_until("\r\n\r\n"))) {
                connection.write(make_response(id, "ok"));
            }
        });
        for (std::size_t count = 0; count < 2 * limits.max_requests_per_connection; ++count) {
            const auto id = std::to_string(count);
            const auto item = client.send(server.address(), request_of(id), id, {});
            context_.restart();
            while (!item->end) {
                context_.run_one();
            }
            CPPUNIT_ASSERT(item->end == exchange_end::complete);
            CPPUNIT_ASSERT_EQUAL(count % limits.max_requests_per_connection != 0,
                                 item->reused_connection);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, client.opened());
    }

    /// The peer sends bytes until the connection is closed: in a head, before the response, in
    /// bodies of every framing, in the head of a chunk and in a trailer.
    void endless_response_is_broken_within_limits() {
        const std::string chunked =
            "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string long_line(8'000, 'x');
        const std::vector<std::pair<std::string, std::string>> cases{
            {"HTTP/1.1 200 OK\r\nX: ", long_line},
            {"HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"", make_response("0", "another's")},
            {"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\n", long_line},
            {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", long_line},
            {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", long_line},
            {chunked, "5\r\nbytes\r\n"},
            {chunked + "5;x=", long_line},
            {chunked + "0\r\nX: ", long_line},
            {chunked + "0\r\n", "X-Name: value\r\n"}};
        for (const auto& [prefix, repeated] : cases) {
            scripted_server server({[&](raw_connection& connection) {
                connection.read_until("\r\n\r\n");
                connection.write(prefix);
                constexpr std::size_t total_bytes = std::size_t{64} * 1024 * 1024;
                std::string block;
                while (block.size() < 64'000) {
                    block += repeated;
                }
                for (std::size_t sent = 0; sent < total_bytes; sent += block.size()) {
                    connection.write(block);
                }
            }});
            const auto item = run(server, "1");
            CPPUNIT_ASSERT_MESSAGE(prefix + repeated.substr(0, 20),
                                   item->end == exchange_end::broken);
            CPPUNIT_ASSERT(item->body.size() <= std::size_t{5} * 1024 * 1024);
        }
    }

    /// Each response stays below the limit for one. A small response beside them is not affected.
    void endless_responses_together_exhaust_memory() {
        constexpr std::size_t kilobyte = 1'024;
        constexpr std::size_t endless = 10;
        constexpr std::size_t body_bytes = 300 * kilobyte;
        exchange_limits limits;
        limits.max_unread_bytes = 400 * kilobyte;
        limits.max_total_unread_bytes = 1'000 * kilobyte;
        limits.small_unread_bytes = 20 * kilobyte;
        exchange_client client(context_.get_executor(), "Request-Id", limits);
        const auto script = [](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n" +
                             std::string(body_bytes, 'x'));
            connection.read_all();
        };
        std::vector<std::unique_ptr<scripted_server>> servers;
        std::vector<std::shared_ptr<exchange>> items;
        const auto unread = [&] {
            std::size_t total = 0;
            for (const auto& item : items) {
                total += item->body.size();
            }
            return total;
        };
        for (std::size_t number = 0; number < endless; ++number) {
            servers.push_back(
                std::make_unique<scripted_server>(std::vector<scripted_server::script>{script}));
            items.push_back(client.send(servers.back()->address(), std::string(request), "1", {}));
        }
        const auto any_ended = [&] {
            return std::ranges::any_of(items,
                                       [](const auto& item) { return item->end.has_value(); });
        };
        while (!any_ended() && unread() < endless * body_bytes) {
            context_.run_one();
        }
        scripted_server sound({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(make_response("1", std::string(10 * kilobyte, 'y')));
        }});
        const auto small = client.send(sound.address(), std::string(request), "1", {});
        while (!small->end) {
            context_.run_one();
        }
        CPPUNIT_ASSERT(small->end == exchange_end::complete);
        std::size_t open = 0;
        for (const auto& item : items) {
            open += item->end ? 0 : item->body.size();
            client.cancel(item);
        }
        CPPUNIT_ASSERT(open <= limits.max_total_unread_bytes);
        client.cancel(small);
    }

private:
    /// The server sends `late` instead of the response to a second request on the connection.
    void expect_broken_second(const std::string& late) {
        scripted_server server({[&](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(make_response("1", "ok"));
            connection.read_until("\r\n\r\n");
            connection.write(late);
        }});
        run(server, "1");
        const auto second = run(server, "2");
        CPPUNIT_ASSERT(second->reused_connection);
        CPPUNIT_ASSERT(second->end == exchange_end::broken);
    }

    std::shared_ptr<exchange> run(const scripted_server& server, const std::string& id) {
        return run_at(server.address(), id);
    }

    std::shared_ptr<exchange> run_at(const std::string& address, const std::string& id) {
        auto item = client_.send(address, request_of(id), id, {});
        context_.restart();
        while (!item->end) {
            context_.run_one();
        }
        client_.cancel(item);
        return item;
    }

    boost::asio::io_context context_;
    exchange_client client_{context_.get_executor(), "Request-Id"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_client_test);

} // namespace
