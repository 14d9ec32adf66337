#include "dragonflystair/net/exchange_client.h"

#include "scripted_peer.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

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

private:
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
