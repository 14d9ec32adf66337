#include "dragonflystair/fleet/endpoint_speed.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <random>

namespace {

using namespace dragonflystair;
using fleet::endpoint_speed;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

/// Speeds of endpoints relative to the mean of their service.
class endpoint_speed_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_speed_test);
    CPPUNIT_TEST(unknown_endpoint_has_the_mean_speed);
    CPPUNIT_TEST(estimate_is_accurate_after_thirty_noisy_samples);
    CPPUNIT_TEST(single_slow_sample_hardly_changes_the_estimate);
    CPPUNIT_TEST(recovered_endpoint_is_a_mean_one_after_thirty_samples);
    CPPUNIT_TEST(estimate_without_new_samples_returns_to_the_mean);
    CPPUNIT_TEST(uncertainty_shrinks_with_samples_and_grows_without);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknown_endpoint_has_the_mean_speed() {
        CPPUNIT_ASSERT_EQUAL(1.0, speed_.slowness("a", start));
    }

    void estimate_is_accurate_after_thirty_noisy_samples() {
        for (const double slowness : {1 / 1.2, 1.0, 1 / 0.55}) {
            speed_.forget("a");
            const auto now = feed(slowness, 30, start);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(slowness, speed_.slowness("a", now), 0.25 * slowness);
        }
    }

    /// Guards against an endpoint that loses its calls because of one call that queued.
    void single_slow_sample_hardly_changes_the_estimate() {
        const auto now = feed(1, 20, start);
        speed_.on_sample("a", 50, now);
        CPPUNIT_ASSERT(speed_.slowness("a", now) < 1.2);
    }

    /// Guards against an estimate that outlives a period of slowness.
    void recovered_endpoint_is_a_mean_one_after_thirty_samples() {
        const auto slow_until = feed(2, 100, start);
        const auto now = feed(1, 30, slow_until);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, speed_.slowness("a", now), 0.25);
    }

    /// Guards against an endpoint that gets no calls and so is never measured again.
    void estimate_without_new_samples_returns_to_the_mean() {
        const auto now = feed(2, 50, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, speed_.slowness("a", now + std::chrono::seconds{60}),
                                     0.05);
    }

    void uncertainty_shrinks_with_samples_and_grows_without() {
        const double before = speed_.of("a", start).uncertainty;
        const auto now = feed(1, 30, start);
        const double after = speed_.of("a", now).uncertainty;
        CPPUNIT_ASSERT(after < before / 2);
        CPPUNIT_ASSERT(speed_.of("a", now + std::chrono::seconds{30}).uncertainty > after);
    }

private:
    /// Adds samples every 50 ms with a spread of 30%. Returns the time of the last one.
    support::time_point feed(double slowness, int samples, support::time_point from) {
        std::lognormal_distribution<double> noise(0, 0.3);
        auto now = from;
        for (int i = 0; i < samples; ++i) {
            now += milliseconds{50};
            speed_.on_sample("a", slowness * noise(random_), now);
        }
        return now;
    }

    endpoint_speed speed_;
    std::mt19937_64 random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_speed_test);

} // namespace
