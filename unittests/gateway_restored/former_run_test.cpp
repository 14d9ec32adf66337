#include "restored_store_fixture.h"

#include <cstdint>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

constexpr std::uint64_t former_run = 10;
constexpr std::uint64_t present_run = 20;

/// Calls before an endpoint that starts again under its id: entries of its former run reach the
/// store late, answers arrive after its next run is listed, or that run answers before it is listed.
class former_run_test : public restored_store_fixture {
    CPPUNIT_TEST_SUITE(former_run_test);
    CPPUNIT_TEST(endpoint_that_leaves_gets_no_calls_after_late_entry_of_former_run);
    CPPUNIT_TEST(endpoint_listed_as_leaving_gets_no_calls_after_late_entry_of_former_run);
    CPPUNIT_TEST(removed_endpoint_gets_no_calls_after_late_entries_of_former_run);
    CPPUNIT_TEST(address_of_former_run_gets_no_calls_after_its_late_entry);
    CPPUNIT_TEST(leaving_said_before_its_run_is_listed_holds);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(former_run_test);

} // namespace
