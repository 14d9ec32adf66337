#include "dragonflystair/policy/crash_suspects.h"
#include "dragonflystair/policy/endpoint_health.h"
#include "dragonflystair/policy/popularity.h"
#include "dragonflystair/policy/retry_budget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::policy;
using std::chrono::seconds;
using fingerprints = std::vector<std::uint64_t>;

constexpr support::time_point start{std::chrono::hours{1}};

/// Estimates that scheduling derives from past requests, adapters and endpoints.
class signals_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(signals_test);
    CPPUNIT_TEST(budget_after_burst_allows_a_tenth);
    CPPUNIT_TEST(popularity_of_request_burst_exceeds_steady_demand);
    CPPUNIT_TEST(popularity_after_pause_keeps_long_rate);
    CPPUNIT_TEST(popularity_of_single_request_stays_below_steady_demand);
    CPPUNIT_TEST(health_of_slow_endpoint_drops_within_five_samples);
    CPPUNIT_TEST(health_when_all_are_slow_stays);
    CPPUNIT_TEST(health_without_samples_recovers);
    CPPUNIT_TEST(crash_makes_all_in_flight_suspects);
    CPPUNIT_TEST(crash_alone_after_suspicion_quarantines);
    CPPUNIT_TEST(crash_alone_for_the_first_time_only_suspects);
    CPPUNIT_TEST(crash_alone_after_suspicion_elsewhere_quarantines);
    CPPUNIT_TEST(suspect_that_finishes_is_cleared);
    CPPUNIT_TEST(quarantine_survives_finish_and_ends_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against retries that multiply an overload.
    void budget_after_burst_allows_a_tenth() {
        retry_budget budget(0.1, 2);
        CPPUNIT_ASSERT(budget.try_take() && budget.try_take() && !budget.try_take());
        for (int i = 0; i < 10; ++i) {
            budget.on_success();
        }
        CPPUNIT_ASSERT(budget.try_take() && !budget.try_take());
    }

    void popularity_of_request_burst_exceeds_steady_demand() {
        popularity demand;
        for (int second = 0; second < 60; ++second) {
            demand.on_request("old", start + seconds{second});
        }
        const auto now = start + seconds{60};
        for (int i = 0; i < 10; ++i) {
            demand.on_request("new", now);
        }
        CPPUNIT_ASSERT(demand.rate("new", now) > demand.rate("old", now));
    }

    void popularity_after_pause_keeps_long_rate() {
        popularity demand;
        for (int second = 0; second < 60; ++second) {
            demand.on_request("steady", start + seconds{second});
        }
        const auto later = start + seconds{80};
        demand.on_request("once", later);
        CPPUNIT_ASSERT(demand.rate("steady", later + seconds{5}) >
                       demand.rate("once", later + seconds{5}));
    }

    /// Guards against eviction of a steadily used adapter in favour of one that was requested once.
    void popularity_of_single_request_stays_below_steady_demand() {
        popularity demand;
        for (int second = 0; second < 60; second += 10) {
            demand.on_request("steady", start + seconds{second});
        }
        const auto now = start + seconds{60};
        demand.on_request("once", now);
        CPPUNIT_ASSERT(demand.rate("steady", now) > demand.rate("once", now));
    }

    void health_of_slow_endpoint_drops_within_five_samples() {
        auto health = healthy_peers();
        for (int i = 0; i < 5; ++i) {
            health.on_sample("slow", 10, start);
        }
        CPPUNIT_ASSERT(health.weight("slow", start) < 0.1);
        CPPUNIT_ASSERT_EQUAL(1.0, health.weight("a", start));
    }

    /// Guards against lower weights for all endpoints during a demand peak.
    void health_when_all_are_slow_stays() {
        endpoint_health health;
        for (const auto* name : {"a", "b", "c", "d"}) {
            for (int i = 0; i < 20; ++i) {
                health.on_sample(name, 5, start);
            }
        }
        CPPUNIT_ASSERT_EQUAL(1.0, health.weight("a", start));
    }

    void health_without_samples_recovers() {
        auto health = healthy_peers();
        health.on_failure("slow", start);
        const double before = health.weight("slow", start);
        CPPUNIT_ASSERT(before < 0.5);
        CPPUNIT_ASSERT(health.weight("slow", start + seconds{30}) > 0.9);
    }

    void crash_makes_all_in_flight_suspects() {
        crash_suspects suspects;
        suspects.on_crash(fingerprints{1, 2}, start);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::suspect);
        CPPUNIT_ASSERT(suspects.state(2, start) == suspicion::suspect);
        CPPUNIT_ASSERT(suspects.state(3, start) == suspicion::clear);
    }

    void crash_alone_after_suspicion_quarantines() {
        crash_suspects suspects;
        suspects.on_crash(fingerprints{1, 2}, start);
        suspects.on_crash(fingerprints{1}, start);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::quarantined);
        CPPUNIT_ASSERT(suspects.state(2, start) == suspicion::suspect);
    }

    /// Guards against one more crash for each owner when the first crash was observed by another
    /// node.
    void crash_alone_after_suspicion_elsewhere_quarantines() {
        crash_suspects suspects;
        suspects.mark_suspect(1, start);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::suspect);
        suspects.on_crash(fingerprints{1}, start);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::quarantined);
        suspects.mark_suspect(1, start);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::quarantined);
    }

    /// Guards against quarantine of a request that was alone at a crash by chance.
    void crash_alone_for_the_first_time_only_suspects() {
        crash_suspects suspects;
        suspects.on_crash(fingerprints{1}, start);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::suspect);
    }

    void suspect_that_finishes_is_cleared() {
        crash_suspects suspects;
        suspects.on_crash(fingerprints{1}, start);
        suspects.on_finished(1);
        CPPUNIT_ASSERT(suspects.state(1, start) == suspicion::clear);
    }

    void quarantine_survives_finish_and_ends_in_time() {
        crash_suspects suspects;
        suspects.mark_quarantined(1, start);
        suspects.on_finished(1);
        CPPUNIT_ASSERT(fingerprints{1} == suspects.quarantined(start));
        const auto later = start + crash_suspects::quarantine_duration;
        CPPUNIT_ASSERT(suspects.state(1, later) == suspicion::clear);
    }

private:
    static endpoint_health healthy_peers() {
        endpoint_health health;
        for (const auto* name : {"a", "b", "c", "d"}) {
            health.on_sample(name, 1, start);
        }
        return health;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(signals_test);

} // namespace
