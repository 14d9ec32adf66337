#include "restored_store_fixture.h"

#include <string>
#include <utility>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::gateway;

/// Number of records that a restoration loses, so that later ones get offsets that the gateway has
/// already seen.
constexpr int lost_records = 6;

/// What a gateway makes of the operator's and the endpoints' records in a store that was restored.
class restored_store_test : public restored_store_fixture {
    CPPUNIT_TEST_SUITE(restored_store_test);
    CPPUNIT_TEST(route_added_at_lower_offset_after_restoration_is_served);
    CPPUNIT_TEST(route_added_after_restoration_without_outage_is_served);
    CPPUNIT_TEST(route_added_after_restoration_that_broke_connections_is_served);
    CPPUNIT_TEST(route_added_after_two_restorations_is_served);
    CPPUNIT_TEST(route_added_after_restorations_in_quick_succession_is_served);
    CPPUNIT_TEST(route_added_after_restoration_within_a_list_is_served);
    CPPUNIT_TEST(route_added_to_log_that_outgrew_the_lost_one_is_served);
    CPPUNIT_TEST(endpoint_that_drains_in_log_that_outgrew_the_lost_one_gets_no_calls);
    CPPUNIT_TEST(endpoint_that_drains_after_restoration_within_a_list_gets_no_calls);
    CPPUNIT_TEST(configuration_lost_by_restoration_stays_in_force);
    CPPUNIT_TEST(adapter_version_lost_by_restoration_does_not_return_older);
    CPPUNIT_TEST(endpoint_that_reports_draining_at_lower_offset_gets_no_calls);
    CPPUNIT_TEST(endpoint_whose_draining_was_lost_gets_no_calls);
    CPPUNIT_TEST(removed_endpoint_that_the_copy_lists_gets_no_calls);
    CPPUNIT_TEST(removed_endpoint_that_two_copies_list_gets_no_calls);
    CPPUNIT_TEST(endpoint_that_registered_in_the_lost_seconds_serves_until_written_again);
    CPPUNIT_TEST(endpoint_that_registered_in_the_lost_seconds_serves_without_outage);
    CPPUNIT_TEST(endpoint_that_is_not_written_again_after_restoration_is_gone);
    CPPUNIT_TEST_SUITE_END();

public:
    void route_added_at_lower_offset_after_restoration_is_served() {
        start();
        auto copy = store->copy();
        lose_operator_records();
        restore_after_outage(std::move(copy));
        expect_added_route_is_served();
    }

    void route_added_after_restoration_without_outage_is_served() {
        start();
        auto copy = store->copy();
        lose_operator_records();
        store->restore(std::move(copy));
        expect_added_route_is_served();
    }

    void route_added_after_restoration_that_broke_connections_is_served() {
        start();
        auto copy = store->copy();
        lose_operator_records();
        restore_after_outage(std::move(copy), store_mode::disconnect);
        expect_added_route_is_served();
    }

    void route_added_after_two_restorations_is_served() {
        start();
        auto copy = store->copy();
        lose_operator_records();
        restore_after_outage(copy);
        expect_list_is_read("keyed.op");
        put_lost_configurations();
        expect_operator_records_are_read();
        restore_after_outage(std::move(copy));
        expect_added_route_is_served();
    }

    void route_added_after_restorations_in_quick_succession_is_served() {
        start();
        auto copy = store->copy();
        lose_operator_records();
        store->restore(copy);
        put_lost_configurations();
        store->restore(std::move(copy));
        expect_added_route_is_served();
    }

    /// The first page lists the newest configuration at an offset that is then assigned again.
    void route_added_after_restoration_within_a_list_is_served() {
        store->put("keyed.op", "other", "1");
        list_endpoint("endpoint-1");
        auto copy = store->copy();
        put_lost_configurations();
        store->set_page_limit(1);
        store->restore_within_list(std::move(copy));
        start_gateway();
        output->expect({"event=configuration "});
        expect_endpoint("endpoint-1", "ready");
        expect_added_route_is_served();
    }

    /// No read is answered with 410: the gateway reads on where its copy ended.
    void route_added_to_log_that_outgrew_the_lost_one_is_served() {
        start();
        auto copy = store->copy();
        lose_operator_records();
        auto& log = copy.topics["keyed.op"];
        log.emplace_back("config", configuration_with(added_version, {"added"}));
        for (int number = 0; number <= lost_records; ++number) {
            log.emplace_back("other", std::to_string(number));
        }
        store->restore(std::move(copy));
        expect_configuration(added_version);
        expect_served("/added/1");
    }

    void endpoint_that_drains_in_log_that_outgrew_the_lost_one_gets_no_calls() {
        list_endpoint("endpoint-2");
        start();
        auto copy = store->copy();
        lose_heartbeats();
        auto& log = copy.topics["keyed.servers"];
        const auto at = [this](const std::string& id) { return endpoints.at(id)->address(); };
        log.emplace_back("endpoint-1", endpoint_record("register", at("endpoint-1"), "draining"));
        for (int number = 0; number <= lost_records; ++number) {
            log.emplace_back("endpoint-2",
                             endpoint_record("register", at("endpoint-2"), "ready", number));
        }
        store->restore(std::move(copy));
        expect_endpoint("endpoint-1", "leaving");
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-1")->calls());
    }

    /// The first page lists the endpoint at an offset that is then assigned again.
    void endpoint_that_drains_after_restoration_within_a_list_gets_no_calls() {
        list_endpoint("endpoint-1");
        add_endpoint("endpoint-0");
        auto copy = store->copy();
        for (int number = 0; number < lost_records; ++number) {
            put_endpoint("endpoint-0", "ready", "register", number);
        }
        store->set_page_limit(1);
        store->restore_within_list(std::move(copy));
        start_gateway();
        expect_configuration(3);
        expect_endpoint("endpoint-1", "ready");
        put_endpoint("endpoint-0", "draining");
        expect_endpoints_are_read();
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-0")->calls());
    }

    /// Guards against a change that comes back older (CONFIG).
    void configuration_lost_by_restoration_stays_in_force() {
        start();
        auto copy = store->copy();
        put_configuration(lost_version, {"added"});
        expect_configuration(lost_version);
        restore_after_outage(std::move(copy));
        expect_list_is_read("keyed.op");
        expect_served("/added/1");
        put_configuration(lost_version - 1);
        expect_operator_records_are_read();
        expect_served("/added/1");
        put_configuration(lost_version, {"added"});
        expect_operator_records_are_read();
        expect_served("/added/1");
        CPPUNIT_ASSERT_EQUAL(2, output->count({"event=configuration "}));
    }

    /// Guards against calls to an older version of an adapter after a newer one was confirmed.
    void adapter_version_lost_by_restoration_does_not_return_older() {
        const auto put_version = [this](int version) {
            store->put("keyed.op", "version/base.known",
                       support::json{{"model", "base"}, {"adapter", "known"}, {"version", version}}
                           .dump());
        };
        put_version(2);
        start();
        output->expect({"event=adapter_version ", "adapter=base/known ", "version=2 "});
        auto copy = store->copy();
        put_version(4);
        output->expect({"event=adapter_version ", "adapter=base/known ", "version=4 "});
        restore_after_outage(std::move(copy));
        put_version(3);
        expect_operator_records_are_read();
        CPPUNIT_ASSERT_EQUAL(1, output->count({"event=adapter_version ", "version=2 "}));
        CPPUNIT_ASSERT_EQUAL(0, output->count({"event=adapter_version ", "version=3 "}));
    }

    /// Guards against calls to an endpoint that has reported that it drains (DRAIN).
    void endpoint_that_reports_draining_at_lower_offset_gets_no_calls() {
        list_endpoint("endpoint-2");
        start();
        auto copy = store->copy();
        lose_heartbeats();
        restore_after_outage(std::move(copy));
        put_endpoint("endpoint-1", "draining");
        expect_endpoint("endpoint-1", "leaving");
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-1")->calls());
    }

    void endpoint_whose_draining_was_lost_gets_no_calls() {
        list_endpoint("endpoint-2");
        start();
        auto copy = store->copy();
        put_endpoint("endpoint-1", "draining");
        expect_endpoint("endpoint-1", "leaving");
        restore_after_outage(std::move(copy));
        expect_endpoints_are_read();
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-1")->calls());
    }

    void removed_endpoint_that_the_copy_lists_gets_no_calls() {
        list_endpoint("endpoint-2");
        start();
        auto copy = store->copy();
        store->put("keyed.servers", "endpoint-1", "");
        expect_endpoint("endpoint-1", "gone");
        restore_after_outage(std::move(copy));
        expect_endpoints_are_read();
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-1")->calls());
    }

    void removed_endpoint_that_two_copies_list_gets_no_calls() {
        list_endpoint("endpoint-2");
        start();
        auto copy = store->copy();
        store->put("keyed.servers", "endpoint-1", "");
        expect_endpoint("endpoint-1", "gone");
        store->restore(copy);
        expect_endpoints_are_read();
        store->restore(std::move(copy));
        expect_endpoints_are_read();
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, endpoints.at("endpoint-1")->calls());
    }

    /// Guards against calls without an endpoint: the only one of a service is not in the copy.
    void endpoint_that_registered_in_the_lost_seconds_serves_until_written_again() {
        auto copy = store->copy();
        start();
        restore_after_outage(std::move(copy));
        expect_missing_endpoint_serves();
    }

    /// Nothing but the era tells that the entry was lost.
    void endpoint_that_registered_in_the_lost_seconds_serves_without_outage() {
        auto copy = store->copy();
        start();
        store->restore(std::move(copy));
        expect_missing_endpoint_serves();
    }

    void endpoint_that_is_not_written_again_after_restoration_is_gone() {
        auto copy = store->copy();
        start();
        restore_after_outage(std::move(copy));
        expect_endpoint("endpoint-1", "gone");
    }

private:
    static constexpr int lost_version = 3 + lost_records;
    static constexpr int added_version = lost_version + 2;

    /// Starts the gateway with an endpoint of `register`.
    void start() {
        list_endpoint("endpoint-1");
        start_gateway();
        output->expect({"event=configuration "});
        expect_endpoint("endpoint-1", "ready");
    }

    void put_lost_configurations() {
        for (int number = 1; number <= lost_records; ++number) {
            put_configuration(3 + number);
        }
    }

    void lose_operator_records() {
        put_lost_configurations();
        expect_configuration(lost_version);
    }

    void lose_heartbeats() {
        for (int number = 1; number <= lost_records; ++number) {
            put_endpoint("endpoint-1", "ready", "register", number);
        }
        expect_endpoints_are_read();
    }

    void expect_missing_endpoint_serves() {
        expect_list_is_read("keyed.servers");
        CPPUNIT_ASSERT_EQUAL(200, call("/stamps/1", "missing").status);
        put_endpoint("endpoint-1", "ready");
        expect_endpoints_are_read();
        expect_served("/stamps/1");
        CPPUNIT_ASSERT_EQUAL(0, output->count({"endpoint=endpoint-1 ", "state=gone"}));
    }

    /// Guards against an added route that is not served (CONFIG).
    void expect_added_route_is_served() {
        put_configuration(added_version, {"added"});
        expect_configuration(added_version);
        expect_served("/added/1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_test);

} // namespace
