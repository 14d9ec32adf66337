#include "dragonflystair/policy/router.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair::policy;
using std::chrono::milliseconds;

route_candidate candidate(std::string name, bool resident, bool near = true) {
    route_candidate item;
    item.endpoint = std::move(name);
    item.resident = resident;
    item.same_region = near;
    return item;
}

class router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(no_candidate_gives_no_route);
    CPPUNIT_TEST(excluded_endpoint_is_not_chosen);
    CPPUNIT_TEST(suspected_endpoint_is_the_last_resort);
    CPPUNIT_TEST(resident_endpoint_in_region_is_preferred);
    CPPUNIT_TEST(other_region_is_used_above_its_penalty);
    CPPUNIT_TEST(cold_adapter_goes_to_the_same_endpoint_from_all_nodes);
    CPPUNIT_TEST(long_resident_wait_spills_to_a_load);
    CPPUNIT_TEST(wait_below_load_time_and_margin_causes_no_load);
    CPPUNIT_TEST(slow_endpoint_loses_against_longer_queue);
    CPPUNIT_TEST(slow_idle_endpoint_loses_against_busy_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_candidate_gives_no_route() { CPPUNIT_ASSERT(!choose({}).has_value()); }

    void excluded_endpoint_is_not_chosen() {
        const std::vector<std::string> excluded{"a"};
        const std::vector<route_candidate> all{candidate("a", true), candidate("b", false)};
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             router_.choose("x", all, excluded, random_)->endpoint);
    }

    void suspected_endpoint_is_the_last_resort() {
        auto suspected = candidate("a", true);
        suspected.suspected = true;
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             choose({suspected, candidate("b", false)})->endpoint);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose({suspected})->endpoint);
    }

    void resident_endpoint_in_region_is_preferred() {
        const auto chosen = choose({candidate("far", true, false), candidate("near", true)});
        CPPUNIT_ASSERT_EQUAL(std::string("near"), chosen->endpoint);
        CPPUNIT_ASSERT(!chosen->needs_load);
    }

    void other_region_is_used_above_its_penalty() {
        auto near = candidate("near", true);
        near.expected_wait = milliseconds{70};
        const auto far = candidate("far", true, false);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), choose({far, near})->endpoint);
        near.expected_wait = milliseconds{90};
        CPPUNIT_ASSERT_EQUAL(std::string("far"), choose({far, near})->endpoint);
    }

    /// Guards against a separate load for each entry node.
    void cold_adapter_goes_to_the_same_endpoint_from_all_nodes() {
        std::set<std::string> chosen;
        for (std::size_t node = 0; node < 8; ++node) {
            std::vector<route_candidate> all;
            for (const auto* name : {"a", "b", "c", "d", "e"}) {
                all.push_back(candidate(name, false));
                all.back().own_in_flight = (node * 7 + all.size()) % 5;
            }
            chosen.insert(choose(all)->endpoint);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.size());
    }

    void long_resident_wait_spills_to_a_load() {
        auto busy = candidate("a", true);
        busy.expected_wait = milliseconds{450};
        const auto chosen = choose({busy, candidate("b", false)});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen->endpoint);
        CPPUNIT_ASSERT(chosen->needs_load);
    }

    void wait_below_load_time_and_margin_causes_no_load() {
        auto busy = candidate("a", true);
        busy.expected_wait = milliseconds{350};
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose({busy, candidate("b", false)})->endpoint);
    }

    void slow_endpoint_loses_against_longer_queue() {
        auto slow = candidate("slow", true);
        slow.health = 0.1;
        slow.expected_wait = milliseconds{10};
        auto busy = candidate("busy", true);
        busy.expected_wait = milliseconds{50};
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), choose({slow, busy})->endpoint);
    }

    /// Guards against an endpoint that receives requests whenever it is idle, although it is slow.
    void slow_idle_endpoint_loses_against_busy_one() {
        auto slow = candidate("slow", true);
        slow.health = 0.02;
        auto busy = candidate("busy", true);
        busy.running = busy.batch_limit;
        busy.expected_wait = milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::string("busy"), choose({slow, busy})->endpoint);
    }

private:
    std::optional<route> choose(const std::vector<route_candidate>& all) {
        return router_.choose("service/adapter@1", all, {}, random_);
    }

    router router_{router_limits{}};
    // NOLINTNEXTLINE(bugprone-random-generator-seed): the tests have to be repeatable.
    std::mt19937_64 random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_test);

} // namespace
