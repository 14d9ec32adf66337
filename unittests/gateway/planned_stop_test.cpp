#include "gateway_fixture.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

const std::string configuration = R"({"version":3,"routes":[
    {"name":"stamps","host":"desk","path-prefix":"/stamps/","kind":"unsafe","timeout-ms":9000,
     "slo-ms":2000,"attempts":2,"service":"register"},
    {"name":"drafts","host":"desk","path-prefix":"/drafts/","kind":"stream","timeout-ms":9000,
     "slo-ms":2000,"gap-aim-ms":300,"attempts":1,"service":"register"}],
    "services":[{"name":"register"}]})";

/// The end of a node's planned stop: longer than the node stays open without calls, shorter than
/// the time that calls may take.
constexpr milliseconds stop_time{4'000};

/// A planned stop of a node that callers go on calling.
class planned_stop_test : public gateway_fixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(call_accepted_late_in_a_planned_stop_is_cut_off);
    CPPUNIT_TEST(call_still_open_at_the_end_of_a_planned_stop_gets_no_answer);
    CPPUNIT_TEST(stamp_on_a_kept_connection_is_cut_off_by_a_planned_stop);
    CPPUNIT_TEST(short_call_in_a_planned_stop_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    planned_stop_test() : gateway_fixture(configuration) {}

    /// Calls whose time ends after the node's are refused before they are sent.
    void call_accepted_late_in_a_planned_stop_is_cut_off() {
        shutdown_timeout = stop_time;
        start_with_silent_endpoint();
        ::kill(::getpid(), SIGTERM);
        output->expect({"event=stopping"});
        for (const std::string path : {"/stamps/1", "/drafts/1"}) {
            const auto answer = send(path, "late" + path.substr(0, 3), {}, milliseconds{5'000});
            CPPUNIT_ASSERT_MESSAGE(path, answer);
            CPPUNIT_ASSERT_EQUAL(503, answer.value().status);
            CPPUNIT_ASSERT(!net::header(answer.value().headers, "Retry-After").empty());
            const auto outcome = support::json::parse(answer.value().body).at("outcome");
            CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcome.get<std::string>());
        }
        stop_threads();
        CPPUNIT_ASSERT_EQUAL(0, endpoint_->accepted());
        output->expect({"event=call_refused", "reason=node_stopping", "sends=0"}, 2);
    }

    /// A call that was sent before the stop began, and whose endpoint does not answer it.
    void call_still_open_at_the_end_of_a_planned_stop_gets_no_answer() {
        start_with_silent_endpoint();
        int status = 0;
        std::thread caller([&] {
            const auto answer = send("/stamps/1", "early");
            status = answer ? answer.value().status : 0;
        });
        while (endpoint_->accepted() == 0) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        ::kill(::getpid(), SIGTERM);
        caller.join();
        stop_threads();
        CPPUNIT_ASSERT_EQUAL(504, status);
        output->expect({"event=call_refused", "request=early", "reason=node_stopping", "runs=1"});
    }

    /// The caller goes on using a connection that it had opened before the stop.
    void stamp_on_a_kept_connection_is_cut_off_by_a_planned_stop() {
        shutdown_timeout = stop_time;
        start_with_silent_endpoint();
        auto caller = net::raw_connection::to(address);
        caller.write("GET /elsewhere HTTP/1.1\r\nHost: desk\r\nRequest-Id: before\r\n\r\n");
        caller.read_until("about:blank\"}");
        ::kill(::getpid(), SIGTERM);
        output->expect({"event=stopping"});
        caller.write("POST /stamps/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: kept\r\n"
                     "Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
        const auto answer = caller.read_all();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Connection: close") != std::string::npos);
        stop_threads();
        CPPUNIT_ASSERT_EQUAL(0, endpoint_->accepted());
    }

    void short_call_in_a_planned_stop_is_refused() {
        shutdown_timeout = generous_timeout;
        start([](net::raw_connection& connection) {
            connection.read_until(net::end_of_head);
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: short\r\nServer-Stamp: s\r\n"
                             "Content-Length: 7\r\n\r\nstamped");
        });
        ::kill(::getpid(), SIGTERM);
        output->expect({"event=stopping"});
        CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "short").status);
    }

    void tearDown() override {
        stop_threads();
        endpoint_.reset();
        gateway_fixture::tearDown();
    }

private:
    void start_with_silent_endpoint() {
        start([](net::raw_connection& connection) { connection.read_all(); });
    }

    void start(const net::scripted_server::script& script) {
        endpoint_ = std::make_unique<net::scripted_server>(
            std::vector<net::scripted_server::script>{script, script});
        put_record("endpoint-1", endpoint_->address());
        start_gateway_with(1);
    }

    std::unique_ptr<net::scripted_server> endpoint_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace
