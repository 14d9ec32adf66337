#include "net/scripted_peer.h"
#include "net/test_context.h"
#include "platform/endpoint_client.h"
#include "platform/names.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::platform;
using std::chrono::milliseconds;

constexpr milliseconds long_timeout{20'000};

/// Reads a request with its body and returns its id.
std::string read_request(net::raw_connection& connection) {
    constexpr std::string_view end = "\r\n\r\n";
    const auto head = connection.read_until(end);
    const auto value = [&](std::string_view name) {
        const auto at = head.find(std::string(name) + ": ");
        return at == std::string::npos
                   ? std::string{}
                   : head.substr(at + name.size() + 2, head.find('\r', at) - at - name.size() - 2);
    };
    const auto length = value("Content-Length");
    connection.read_exactly(length.empty() ? 0 : std::stoul(length));
    return value(request_id_header);
}

std::string make_response(std::string_view status, std::string_view id,
                          std::string_view body = {}) {
    const std::string id_line =
        id.empty() ? std::string{}
                   : std::string(request_id_header) + ": " + std::string(id) + "\r\n";
    return "HTTP/1.1 " + std::string(status) + "\r\n" + id_line +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// An endpoint that sends a second copy of a response ahead of the response to the next request.
class copied_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(copied_answer_test);
    CPPUNIT_TEST(refused_order_is_not_accepted_by_copy_of_earlier_acceptance);
    CPPUNIT_TEST(accepted_order_is_not_fenced_by_copy_of_earlier_refusal);
    CPPUNIT_TEST(order_is_unknown_if_its_response_has_no_id);
    CPPUNIT_TEST(report_is_not_read_from_copy_of_earlier_report);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a planner that relies on an order which the engine has rejected (LIMIT).
    void refused_order_is_not_accepted_by_copy_of_earlier_acceptance() {
        assert_orders("202 Accepted", order_result::accepted, "409 Conflict",
                      order_result::conflict);
    }

    /// Guards against an order that is repeated, and a lease that is given up, without a reason.
    void accepted_order_is_not_fenced_by_copy_of_earlier_refusal() {
        assert_orders("412 Precondition Failed", order_result::fenced, "202 Accepted",
                      order_result::accepted);
    }

    void order_is_unknown_if_its_response_has_no_id() {
        net::scripted_server engine({[](net::raw_connection& connection) {
            connection.write(make_response("202 Accepted", read_request(connection)));
            read_request(connection);
            connection.write(make_response("202 Accepted", ""));
            connection.read_all();
        }});
        const auto first = order_at(engine.address());
        const auto second = order_at(engine.address());
        http_.reset();
        assert_equal(order_result::accepted, first);
        assert_equal(order_result::unknown, second);
    }

    void report_is_not_read_from_copy_of_earlier_report() {
        const auto report_of = [](int orders) {
            return R"({"stage":"mixed","models":[],"seq":)" + std::to_string(orders) + "}";
        };
        net::scripted_server engine({[&](net::raw_connection& connection) {
            const auto copy = make_response("200 OK", read_request(connection), report_of(1));
            connection.write(copy);
            const auto id = read_request(connection);
            connection.write(copy + make_response("200 OK", id, report_of(2)));
            connection.read_all();
        }});
        const engine_run receiver{engine.address(), "engine", 1};
        const auto first = context_.run(client_.report(receiver, long_timeout));
        const auto second = context_.run(client_.report(receiver, long_timeout));
        http_.reset();
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.value().orders_accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second.value().orders_accepted);
    }

private:
    static void assert_equal(order_result expected, order_result actual) {
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(expected)), std::string(to_string(actual)));
    }

    void assert_orders(std::string_view first_status, order_result first,
                       std::string_view second_status, order_result second) {
        net::scripted_server engine({[&](net::raw_connection& connection) {
            const auto copy = make_response(first_status, read_request(connection));
            connection.write(copy);
            const auto id = read_request(connection);
            connection.write(copy + make_response(second_status, id));
            connection.read_all();
        }});
        const auto first_result = order_at(engine.address());
        const auto second_result = order_at(engine.address());
        // The engine reads until the connection closes.
        http_.reset();
        assert_equal(first, first_result);
        assert_equal(second, second_result);
        CPPUNIT_ASSERT_EQUAL(1, engine.accepted());
    }

    order_result order_at(const std::string& address) {
        engine_order order;
        order.model = {"m", "a"};
        order.holder = "node";
        return context_.run(client_.order({address, "engine", 1}, order, long_timeout));
    }

    net::test_context context_;
    std::unique_ptr<net::http_client> http_ = std::make_unique<net::http_client>(
        context_.get(), net::http_client::log_page_bytes, std::string(request_id_header));
    endpoint_client client_{*http_, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(copied_answer_test);

} // namespace
