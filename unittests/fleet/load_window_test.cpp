#include "dragonflystair/fleet/load_window.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

/// Load time of a store that is shared by six data centres: 288 ms for up to 104 concurrent loads,
/// increasing in proportion beyond.
milliseconds load_time(std::size_t in_flight) {
    constexpr std::size_t at_full_speed = 104;
    return milliseconds(288 * std::max(in_flight, at_full_speed) / at_full_speed);
}

class load_window_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_window_test);
    CPPUNIT_TEST(window_starts_with_one_and_a_half_loads_per_engine);
    CPPUNIT_TEST(burst_of_rare_adapters_keeps_load_time_below_the_callers_timeout);
    CPPUNIT_TEST(store_with_spare_capacity_is_used_up_to_the_engines_limit);
    CPPUNIT_TEST(store_that_is_permanently_slow_keeps_a_usable_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { window_ = {}; }

    void window_starts_with_one_and_a_half_loads_per_engine() {
        window_.set_engines(11);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, window_.limit());
    }

    /// Guards against so many concurrent loads that each takes longer than the 600 ms that callers
    /// wait: with four loads for each of 66 engines, a load took 730 ms.
    void burst_of_rare_adapters_keeps_load_time_below_the_callers_timeout() {
        constexpr std::size_t data_centres = 6;
        window_.set_engines(11);
        run(data_centres, milliseconds{20'000});
        const auto in_flight = data_centres * window_.limit();
        // Up to 100 ms of the callers' 600 ms are spent waiting for an engine that had the adapter.
        CPPUNIT_ASSERT(load_time(in_flight) <= milliseconds{500});
        CPPUNIT_ASSERT(in_flight >= 80);
    }

    void store_with_spare_capacity_is_used_up_to_the_engines_limit() {
        window_.set_engines(5);
        run(1, milliseconds{60'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, window_.limit());
    }

    /// Guards against a window that stays small permanently when loads have become slower for a
    /// reason that is independent of their number.
    void store_that_is_permanently_slow_keeps_a_usable_window() {
        window_.set_engines(10);
        run(1, milliseconds{5'000});
        std::size_t least = window_.limit();
        for (int load = 0; load < 8'000; ++load) {
            now_ += milliseconds{40};
            window_.on_load_done(milliseconds{600}, now_);
            least = std::min(least, window_.limit());
        }
        CPPUNIT_ASSERT(least >= 15);
        CPPUNIT_ASSERT(window_.limit() >= 20);
    }

private:
    /// Keeps the window full in that number of identical data centres.
    void run(std::size_t data_centres, milliseconds time) {
        const auto end = now_ + time;
        while (now_ < end) {
            const auto took = load_time(data_centres * window_.limit());
            now_ += took;
            for (std::size_t load = window_.limit(); load > 0; --load) {
                window_.on_load_done(took, now_);
            }
        }
    }

    load_window window_;
    support::time_point now_{std::chrono::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_window_test);

} // namespace
