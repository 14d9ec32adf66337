#include "gateway_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tuple>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":300,"service":"register"},
    {"name":"patterns","host":"desk","path-prefix":"/patterns/","kind":"stream","timeout-ms":9000,
     "slo-ms":300,"gap-aim-ms":300,"service":"assistant"}],
    "services":[{"name":"register"},{"name":"assistant","engine":{"slots":4,"weights-mb":100,
     "adapter-slots":2,"models":[{"name":"base","weights-mb":50,"adapter-mb":1}]}}]})";

/// The gateway with stand-ins of the store and an endpoint. Operators use the log lines to trace a
/// failed request from its id to the cause (docs/OPERATIONS.md).
class gateway_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(gateway_test);
    CPPUNIT_TEST(plain_call_is_sent_to_service_once);
    CPPUNIT_TEST(stream_is_relayed_completely);
    CPPUNIT_TEST(call_refused_under_load_is_logged_with_reason);
    CPPUNIT_TEST(stream_broken_off_by_endpoint_is_logged_with_cause);
    CPPUNIT_TEST(order_refused_by_fencing_is_logged_with_adapter);
    CPPUNIT_TEST(node_without_store_removes_endpoint_reported_gone_by_peer);
    CPPUNIT_TEST(malformed_model_name_stops_the_loading_of_adapters);
    CPPUNIT_TEST(odd_entries_among_the_endpoints_end_the_node_or_its_reading);
    CPPUNIT_TEST(hangup_signal_reloads_settings_without_stopping);
    CPPUNIT_TEST(call_in_flight_at_stop_signal_is_answered);
    CPPUNIT_TEST(partially_read_call_at_shutdown_is_answered);
    CPPUNIT_TEST_SUITE_END();

public:
    gateway_test() : gateway_fixture(configuration) {}

    void tearDown() override {
        release_.set_value();
        gateway_fixture::tearDown();
        release_ = {};
    }

    void plain_call_is_sent_to_service_once() {
        start("register", 6, endpoint_stand_in::answer_with("stamped"));
        const auto answer = call("/stamps/1", "id-1");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("stamped"), answer.body);
        CPPUNIT_ASSERT_EQUAL(1, endpoint().calls());
        output->expect({"event=call ", "request=id-1", "outcome=served"});
    }

    void stream_is_relayed_completely() {
        start("assistant", 4, stream_of({"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, true));
        const auto answer = call("/patterns/1", "id-2", "base/known");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("signature"),
                             std::string(net::header(answer.headers, "Server-Stamp")));
    }

    /// The register has one slot, which is occupied by a call that does not end.
    void call_refused_under_load_is_logged_with_reason() {
        auto released = release_.get_future().share();
        start("register", 1, [released](net::http_exchange& exchange) -> net::awaitable<void> {
            boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
            while (released.wait_for(milliseconds{0}) != std::future_status::ready &&
                   !exchange.disconnected()) {
                pause.expires_after(milliseconds{1});
                co_await pause.async_wait(boost::asio::use_awaitable);
            }
        });
        std::thread holder([this] { std::ignore = send("/stamps/1", "id-3"); });
        while (endpoint().calls() == 0) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        const auto answer = call("/stamps/2", "id-4");
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!net::header(answer.headers, "Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(1, endpoint().calls());
        output->expect({"event=call_refused", "request=id-4", "reason=no_capacity", "sends=0",
                        "configuration=3"});
        ::kill(::getpid(), SIGTERM);
        running.join();
        holder.join();
    }

    void stream_broken_off_by_endpoint_is_logged_with_cause() {
        start("assistant", 4, stream_of({"id: 1\ndata: a\n\n"}, false));
        const auto answer = send("/patterns/1", "id-5", "base/known");
        CPPUNIT_ASSERT(!answer);
        output->expect({"event=endpoint_failed", "request=id-5", "endpoint=endpoint-1"});
        output->expect({"event=call ", "request=id-5", "outcome=broken_off", "sends=1"});
    }

    void order_refused_by_fencing_is_logged_with_adapter() {
        start("assistant", 4, stream_of({}, true));
        endpoint().set_order_status(412);
        // A new lease holder sends no orders for a short time; until then calls are refused
        // immediately.
        int calls = 0;
        do {
            const auto answer =
                call("/patterns/1", "id-6." + std::to_string(++calls), "base/absent");
            CPPUNIT_ASSERT_EQUAL(503, answer.status);
            CPPUNIT_ASSERT(calls < 2'000);
            std::this_thread::sleep_for(milliseconds{10});
        } while (output->count({"event=order "}) == 0);
        output->expect(
            {"event=call_refused", "request=id-6.", "reason=no_adapter", "adapter=absent"});
        output->expect({"event=order ", "adapter=base/absent", "fence=7", "result=fenced"});
        output->expect({"event=lease_lost", "data_centre=north", "fence=7"});
    }

    /// The order for such an adapter could not be written, and no other was sent to that engine.
    void malformed_model_name_stops_the_loading_of_adapters() {
        start("assistant", 4, stream_of({"id: 1\ndata: a\n\n"}, true));
        int calls = 0;
        do {
            auto caller = net::raw_connection::to(address);
            caller.write("POST /patterns/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: odd-" +
                         std::to_string(++calls) +
                         "\r\nModel: base/\xff\xfe\r\nDeadline-Ms: 3000\r\n"
                         "Connection: close\r\nContent-Length: 0\r\n\r\n");
            const auto answer = caller.read_all();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 400"));
            std::ignore = send("/patterns/1", "sound-" + std::to_string(calls), "base/absent");
            CPPUNIT_ASSERT(calls < 2'000);
        } while (output->count({"event=order ", "adapter=base/absent"}) == 0);
        CPPUNIT_ASSERT_EQUAL(0, output->count({"event=task_failed"}));
    }

    /// Guards against calls to an endpoint that is gone: a node whose store did not answer did not
    /// rely on the records from its peer until its own store was reachable again.
    void node_without_store_removes_endpoint_reported_gone_by_peer() {
        start("register", 6, stream_of({}, true));
        auto settings = peer_settings_of("node-2");
        settings.store_address = "127.0.0.1:1";
        dragonflystair::gateway::gateway second(settings, [] { return std::nullopt; });
        std::thread second_run([&] { second.run(); });
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=ready"}, 2);
        store->put("keyed.servers", "endpoint-1", "");
        output->expect({"event=endpoint ", "endpoint=endpoint-1", "state=gone"}, 2);
        ::kill(::getpid(), SIGTERM);
        second_run.join();
        running.join();
    }

    /// Guards against a node that is terminated by SIGHUP.
    void hangup_signal_reloads_settings_without_stopping() {
        auto changed = settings_of("node-1");
        changed.retry_slack = 7;
        changed.region = "elsewhere";
        reloaded = changed;
        start("register", 6, endpoint_stand_in::answer_with("stamped"));
        ::kill(::getpid(), SIGHUP);
        output->expect({"event=settings_reloaded", "restart_needed=yes"});
        CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "id-7").status);
    }

    /// Guards against calls that a stopping node aborts: the endpoint responds only after the
    /// signal has been handled.
    void call_in_flight_at_stop_signal_is_answered() {
        shutdown_timeout = generous_timeout;
        auto released = release_.get_future().share();
        start("register", 6, [released](net::http_exchange& exchange) -> net::awaitable<void> {
            boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
            while (released.wait_for(milliseconds{0}) != std::future_status::ready) {
                pause.expires_after(milliseconds{1});
                co_await pause.async_wait(boost::asio::use_awaitable);
            }
            auto response = endpoint_stand_in::signed_head(exchange);
            response.body = "stamped";
            co_await exchange.respond(std::move(response));
        });
        int status = 0;
        std::thread caller([&] {
            const auto answer = send("/stamps/1", "id-8");
            status = answer ? answer.value().status : 0;
        });
        while (endpoint().calls() == 0) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        ::kill(::getpid(), SIGTERM);
        output->expect({"event=stopping"});
        release_.set_value();
        caller.join();
        release_ = {};
        CPPUNIT_ASSERT_EQUAL(200, status);
        running.join();
    }

    /// Guards against a node that stops once no call is in flight although a request is still being
    /// read.
    void partially_read_call_at_shutdown_is_answered() {
        shutdown_timeout = generous_timeout;
        start("register", 6, endpoint_stand_in::answer_with("stamped"));
        auto caller = net::raw_connection::to(address);
        caller.write("POST /stamps/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: id-9\r\n");
        ::kill(::getpid(), SIGTERM);
        output->expect({"event=closing"});
        caller.write("Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n");
        const auto answer = caller.read_until("stamped");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("stamped"));
        running.join();
    }

    /// Another writer leaves entries, before, among and after sound ones, also under the key of a
    /// sound one. The node serves, gives calls to sound endpoints only, and follows later entries.
    void odd_entries_among_the_endpoints_end_the_node_or_its_reading() {
        constexpr std::size_t levels = 20'000;
        const auto with_address = [](const std::string& odd) {
            return endpoint_record("register", odd);
        };
        const std::vector<std::string> odd{
            R"({"service":)" + std::string(levels, '[') + std::string(levels, ']') + "}",
            R"({"service":"register","addr":"127.0.0.1:1","zone":"north","slots":1e999})",
            R"({"service":"register","addr":"127.0.0.1:1","slots":4,"state":"ready","seq":1e30})",
            R"({"service":"register","addr":"127.0.0.1:1","slots":4,"state":"ready","born":1e300})",
            R"({"service":"register","addr":"127.0.0.1:1","slots":4,"models":[[[[{}]]]]})",
            with_address("127.0.0.1:99999"),
            with_address("127.0.0.1:-5"),
            with_address("nowhere"),
            "\xff\xfe",
            "[]",
            R"("text")"};
        const auto put_all = [&](const std::string& name) {
            for (std::size_t i = 0; i < odd.size(); ++i) {
                store->put("keyed.servers", name + std::to_string(i), odd[i]);
            }
        };
        put_all("before-");
        start("register", 6, endpoint_stand_in::answer_with("stamped"));
        put_all("after-");
        for (const auto& text : odd) {
            store->put("keyed.servers", "endpoint-1", text);
        }
        put_record("endpoint-2", endpoint().address());
        output->expect({"event=endpoint ", "endpoint=endpoint-2", "state=ready"});
        for (int number = 0; number < 20; ++number) {
            CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "odd-" + std::to_string(number)).status);
        }
        CPPUNIT_ASSERT_EQUAL(2, output->count({"event=endpoint ", "state=ready"}));
        CPPUNIT_ASSERT_EQUAL(0, output->count({"event=task_failed"}));
        CPPUNIT_ASSERT(!ended);
    }

private:
    static endpoint_stand_in::call_handler stream_of(std::vector<std::string> events, bool whole) {
        return [events = std::move(events),
                whole](net::http_exchange& exchange) -> net::awaitable<void> {
            co_await exchange.begin_stream(endpoint_stand_in::signed_head(exchange));
            for (const auto& event : events) {
                co_await exchange.write(event);
            }
            if (whole) {
                co_await exchange.end_stream();
            }
        };
    }

    /// Starts the endpoint and the gateway, and waits until the endpoint is known and the lease is
    /// acquired.
    void start(const std::string& service, int slots, endpoint_stand_in::call_handler on_call) {
        const auto at = add_endpoint("endpoint-1", std::move(on_call)).address();
        store->put("keyed.servers", "endpoint-1", endpoint_record(service, at, "ready", 0, slots));
        start_gateway();
        output->expect({"event=endpoint ", "endpoint=endpoint-1"});
        output->expect({"event=lease_won"});
    }

    endpoint_stand_in& endpoint() { return *endpoints.at("endpoint-1"); }

    std::promise<void> release_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

} // namespace
