#include "restored_store_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <future>
#include <string>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

constexpr std::uint64_t former_run = 10;
constexpr std::uint64_t present_run = 20;

/// Calls before an endpoint that starts again under its id: entries of its former run reach the
/// store late, answers arrive after its next run is listed, or that run answers before it is
/// listed.
class former_run_test : public restored_store_fixture {
    CPPUNIT_TEST_SUITE(former_run_test);
    CPPUNIT_TEST(endpoint_that_leaves_gets_no_calls_after_late_entry_of_former_run);
    CPPUNIT_TEST(endpoint_listed_as_leaving_gets_no_calls_after_late_entry_of_former_run);
    CPPUNIT_TEST(removed_endpoint_gets_no_calls_after_late_entries_of_former_run);
    CPPUNIT_TEST(address_of_former_run_gets_no_calls_after_its_late_entry);
    CPPUNIT_TEST(pause_requested_across_a_restart_holds_for_seconds);
    CPPUNIT_TEST(leaving_said_across_a_restart_holds);
    CPPUNIT_TEST(adapter_that_former_run_lacks_is_not_absent_from_the_present_one);
    CPPUNIT_TEST(pause_requested_before_its_run_is_listed_holds);
    CPPUNIT_TEST(leaving_said_before_its_run_is_listed_holds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an endpoint that gets no calls for a time that its former run named.
    void pause_requested_across_a_restart_holds_for_seconds() {
        hold_first_answer(503, {{"Not-Run", "1"}, {"Retry-After", "30"}});
        list_held("register");
        restart_during_call("/stamps/1");
        const auto refused = call("/stamps/1", "second");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(std::stod(std::string(net::header(refused.headers, "Retry-After"))) < 9);
    }

    /// Guards against calls to an endpoint that leaves: its run was listed while it had the call
    /// that it answers so (DRAIN).
    void leaving_said_across_a_restart_holds() {
        hold_first_answer(200, {{"Server-Leaving", "1"}});
        list_held("register");
        restart_during_call("/stamps/1");
        expect_endpoint("endpoint-1", "leaving");
    }

    /// Guards against calls that wait for an adapter that their engine has.
    void adapter_that_former_run_lacks_is_not_absent_from_the_present_one() {
        hold_first_answer(421, {{"Not-Run", "1"}});
        list_held("assistant");
        endpoints.at("endpoint-1")->set_order_status(503);
        restart_during_call("/patterns/1", "assistant", "base/known");
        CPPUNIT_ASSERT_EQUAL(200, call("/patterns/1", "second", "base/known").status);
    }

    /// Guards against calls to an endpoint that rejects them, as soon as its run is listed
    /// (BUDGET).
    void pause_requested_before_its_run_is_listed_holds() {
        add_endpoint("endpoint-1", endpoint_stand_in::answer_with(
                                       "", 503, {{"Not-Run", "1"}, {"Retry-After", "30"}}));
        put_run("endpoint-1", former_run);
        start_gateway_with(1);
        call("/stamps/1", "first");
        output->expect({"event=endpoint_paused", "endpoint=endpoint-1"});
        put_run("endpoint-1", present_run);
        expect_endpoints_are_read();
        CPPUNIT_ASSERT_EQUAL(503, call("/stamps/1", "second").status);
        CPPUNIT_ASSERT_EQUAL(1, calls_of("endpoint-1"));
    }

    /// Guards against calls to an endpoint that leaves, whose first heartbeat is written late
    /// (DRAIN).
    void leaving_said_before_its_run_is_listed_holds() {
        add_endpoint("endpoint-1",
                     endpoint_stand_in::answer_with("", 200, {{"Server-Leaving", "1"}}));
        put_run("endpoint-1", former_run);
        list_endpoint("endpoint-2");
        start_gateway_with(2);
        for (int number = 0; calls_of("endpoint-1") == 0 && number < many_calls; ++number) {
            call("/stamps/1", "early-" + std::to_string(number));
        }
        expect_endpoint("endpoint-1", "leaving");
        put_run("endpoint-1", present_run);
        expect_no_calls_to("endpoint-1");
    }

    /// Guards against calls to an endpoint that said in an answer that it leaves (DRAIN).
    void endpoint_that_leaves_gets_no_calls_after_late_entry_of_former_run() {
        start({{"Server-Leaving", "1"}});
        for (int number = 0; calls_of("endpoint-1") == 0 && number < many_calls; ++number) {
            call("/stamps/1", "early-" + std::to_string(number));
        }
        expect_endpoint("endpoint-1", "leaving");
        put_run("endpoint-1", former_run);
        expect_no_calls_to("endpoint-1");
    }

    void endpoint_listed_as_leaving_gets_no_calls_after_late_entry_of_former_run() {
        start({});
        put_run("endpoint-1", present_run, "draining");
        expect_endpoint("endpoint-1", "leaving");
        put_run("endpoint-1", former_run);
        expect_no_calls_to("endpoint-1");
    }

    void removed_endpoint_gets_no_calls_after_late_entries_of_former_run() {
        start({});
        store->put("keyed.servers", "endpoint-1", "");
        expect_endpoint("endpoint-1", "gone");
        put_run("endpoint-1", former_run);
        expect_endpoints_are_read();
        put_run("endpoint-1", former_run);
        expect_no_calls_to("endpoint-1");
    }

    /// Another endpoint has that address by now.
    void address_of_former_run_gets_no_calls_after_its_late_entry() {
        start({});
        add_endpoint("other");
        store->put("keyed.servers", "endpoint-1",
                   endpoint_record("register", endpoints.at("other")->address(), "ready", 0, 6,
                                   former_run));
        expect_no_calls_to("other");
        CPPUNIT_ASSERT(calls_of("endpoint-1") > 0);
    }

private:
    void put_run(const std::string& id, std::uint64_t started_ms,
                 const std::string& state = "ready", const std::string& service = "register") {
        store->put("keyed.servers", id,
                   endpoint_record(service, endpoints.at(id)->address(), state, 0, 6, started_ms));
    }

    /// Adds endpoint-1, which answers its first call like this once `released_` is set, and all
    /// other calls with an event.
    void hold_first_answer(int status, const net::http_headers& headers) {
        released_ = false;
        add_endpoint("endpoint-1", [this, status, headers](net::http_exchange& exchange) {
            return serve_when_released(exchange, status, headers);
        });
    }

    net::awaitable<void> serve_when_released(net::http_exchange& exchange, int status,
                                             const net::http_headers& headers) {
        auto response =
            released_ ? response_to(exchange, 200, {}) : response_to(exchange, status, headers);
        boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
        while (!released_) {
            pause.expires_after(milliseconds{5});
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
        co_await exchange.respond(std::move(response));
    }

    static net::http_response response_to(const net::http_exchange& exchange, int status,
                                          const net::http_headers& headers) {
        auto response = endpoint_stand_in::signed_head(exchange);
        response.status = status;
        response.headers.insert(headers.begin(), headers.end());
        response.body = "data: token\n\n";
        return response;
    }

    void list_held(const std::string& service) {
        put_run("endpoint-1", former_run, "ready", service);
        start_gateway_with(1);
    }

    /// Lists the present run while the endpoint has a call, and then lets it answer.
    void restart_during_call(const std::string& path, const std::string& service = "register",
                             const std::string& model = {}) {
        auto held = std::async(std::launch::async, [this, path, model] { call_held(path, model); });
        eventually("a call", [this] { return calls_of("endpoint-1") == 1; });
        put_run("endpoint-1", present_run, "ready", service);
        expect_endpoints_are_read();
        released_ = true;
        held.get();
    }

    /// Makes a call on a connection of its own; its result is not judged.
    void call_held(const std::string& path, const std::string& model = {}) const {
        auto connection = net::raw_connection::to(address);
        connection.write("POST " + path +
                         " HTTP/1.1\r\nHost: desk\r\nRequest-Id: held\r\nDeadline-Ms: 9000\r\n" +
                         (model.empty() ? "" : "Model: " + model + "\r\n") +
                         "Connection: close\r\nContent-Length: 0\r\n\r\n");
        connection.read_all();
    }

    /// Starts a gateway that knows the present run of endpoint-1, whose answers have the headers,
    /// and endpoint-2.
    void start(const net::http_headers& headers) {
        add_endpoint("endpoint-1", endpoint_stand_in::answer_with("", 200, headers));
        put_run("endpoint-1", former_run);
        list_endpoint("endpoint-2");
        start_gateway_with(2);
        put_run("endpoint-1", present_run);
        expect_endpoints_are_read();
    }

    int calls_of(const std::string& id) const { return endpoints.at(id)->calls(); }

    /// Reads all records and makes many calls, which all are served by other endpoints.
    void expect_no_calls_to(const std::string& id) {
        expect_endpoints_are_read();
        const int before = calls_of(id);
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(before, calls_of(id));
    }

    std::atomic<bool> released_{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(former_run_test);

} // namespace
