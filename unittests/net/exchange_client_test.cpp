#include "dragonflystair/net/exchange_client.h"

#include "scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair::net;

constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

std::string answer(std::string_view id, std::string_view body) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// One request, its answer while it arrives, and the connection after it.
class exchange_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(exchange_client_test);
    CPPUNIT_TEST(whole_answer_completes_and_its_connection_is_reused);
    CPPUNIT_TEST(closed_port_is_not_sent);
    CPPUNIT_TEST(connection_made_as_its_timeout_expires_is_used);
    CPPUNIT_TEST(answer_cut_off_is_broken);
    CPPUNIT_TEST(extra_answer_to_an_earlier_request_is_skipped);
    CPPUNIT_TEST(bytes_after_a_whole_answer_end_the_connection);
    CPPUNIT_TEST(answer_without_length_completes_with_its_connection);
    CPPUNIT_TEST(cancelled_exchange_closes_its_connection);
    CPPUNIT_TEST(late_copy_before_the_next_request_ends_the_connection);
    CPPUNIT_TEST(late_copy_without_an_id_reaches_no_other_request);
    CPPUNIT_TEST(late_copy_without_length_reaches_no_other_request);
    CPPUNIT_TEST(half_a_late_copy_reaches_no_other_request);
    CPPUNIT_TEST(bytes_without_end_are_broken_within_bounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_answer_completes_and_its_connection_is_reused() {
        scripted_server server({[](raw_connection& connection) {
            for (const auto* id : {"1", "2"}) {
                connection.read_until("\r\n\r\n");
                connection.write(answer(id, "ok"));
            }
        }});
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), run(server, "1")->body);
        const auto second = run(server, "2");
        CPPUNIT_ASSERT(second->end == exchange_end::complete);
        CPPUNIT_ASSERT(second->reused_connection);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client_.opened());
    }

    void closed_port_is_not_sent() {
        std::string address;
        {
            const scripted_server server({});
            address = server.address();
        }
        CPPUNIT_ASSERT(run_at(address, "1")->end == exchange_end::not_sent);
    }

    /// Guards against a request that was written and is then called not sent, which lets it run
    /// twice or be refused after it has run: on a node that was held up, the connection and the
    /// expiry of its time-out are found in the same look.
    void connection_made_as_its_timeout_expires_is_used() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(answer("1", "ok"));
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

    void answer_cut_off_is_broken() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\npart");
        }});
        const auto item = run(server, "1");
        CPPUNIT_ASSERT(item->end == exchange_end::broken);
        CPPUNIT_ASSERT_EQUAL(200, item->head->status);
    }

    /// Guards against an answer that reaches another caller.
    void extra_answer_to_an_earlier_request_is_skipped() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(answer("0", "late") + answer("1", "own"));
        }});
        const auto item = run(server, "1");
        CPPUNIT_ASSERT(item->end == exchange_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("own"), item->body);
    }

    void bytes_after_a_whole_answer_end_the_connection() {
        scripted_server server({[](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(answer("1", "ok") + "junk");
                                },
                                [](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(answer("2", "ok"));
                                }});
        CPPUNIT_ASSERT(run(server, "1")->end == exchange_end::complete);
        CPPUNIT_ASSERT(!run(server, "2")->reused_connection);
    }

    void answer_without_length_completes_with_its_connection() {
        scripted_server server({[](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nall");
        }});
        const auto item = run(server, "1");
        CPPUNIT_ASSERT(item->end == exchange_end::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), item->body);
    }

    /// Guards against endpoints that work on for callers that left.
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

    void late_copy_before_the_next_request_ends_the_connection() {
        scripted_server server({[](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(answer("1", "ok"));
                                    connection.write(answer("1", "copy"));
                                    connection.read_until("\r\n\r\n");
                                    connection.write(answer("1", "copy"));
                                },
                                [](raw_connection& connection) {
                                    connection.read_until("\r\n\r\n");
                                    connection.write(answer("2", "own"));
                                }});
        run(server, "1");
        // The copy may come with the answer, after it, or with the next request under way.
        const auto second = run(server, "2");
        CPPUNIT_ASSERT(second->end != exchange_end::complete || second->body == "own");
        CPPUNIT_ASSERT(second->body != "copy");
    }

    /// Guards against a copy whose head looks like the next answer.
    void late_copy_without_an_id_reaches_no_other_request() {
        expect_broken_second("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy");
    }

    /// Guards against a copy that ends with its connection and so seems to be the whole answer.
    void late_copy_without_length_reaches_no_other_request() {
        expect_broken_second("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\ncopy");
    }

    void half_a_late_copy_reaches_no_other_request() {
        expect_broken_second("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 300\r\n\r\nhal" +
                             answer("2", "own"));
    }

    /// Bytes that are no answer come until the connection is closed: in a head, before the answer,
    /// in bodies of every framing, in the head of a chunk and in a trailer.
    void bytes_without_end_are_broken_within_bounds() {
        const std::string chunked =
            "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string long_line(8'000, 'x');
        const std::vector<std::pair<std::string, std::string>> kinds{
            {"HTTP/1.1 200 OK\r\nX: ", long_line},
            {"HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"", answer("0", "another's")},
            {"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\n", long_line},
            {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", long_line},
            {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", long_line},
            {chunked, "5\r\nbytes\r\n"},
            {chunked + "5;x=", long_line},
            {chunked + "0\r\nX: ", long_line},
            {chunked + "0\r\n", "X-Name: value\r\n"}};
        for (const auto& [begin, again] : kinds) {
            scripted_server server({[&](raw_connection& connection) {
                connection.read_until("\r\n\r\n");
                connection.write(begin);
                constexpr std::size_t plenty = std::size_t{64} * 1024 * 1024;
                std::string block;
                while (block.size() < 64'000) {
                    block += again;
                }
                for (std::size_t sent = 0; sent < plenty; sent += block.size()) {
                    connection.write(block);
                }
            }});
            const auto item = run(server, "1");
            CPPUNIT_ASSERT_MESSAGE(begin + again.substr(0, 20), item->end == exchange_end::broken);
            CPPUNIT_ASSERT(item->body.size() <= std::size_t{5} * 1024 * 1024);
        }
    }

private:
    /// The server sends `late` in place of the answer to a second request on the connection.
    void expect_broken_second(const std::string& late) {
        scripted_server server({[&](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.write(answer("1", "ok"));
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
        auto item = client_.send(address, std::string(request), id, {});
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
