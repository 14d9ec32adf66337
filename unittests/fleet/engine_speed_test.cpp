#include "dragonflystair/fleet/engine_speed.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <random>

namespace {

using dragonflystair::fleet::engine_speed;

/// An engine with known latency and throughput, as in the platform's deployments.
struct true_engine {
    double first_event_ms = 0;
    double tokens_per_ms = 0;

    [[nodiscard]] double time_to_first_event_ms(std::size_t tokens) const {
        return first_event_ms + static_cast<double>(tokens) / tokens_per_ms;
    }
};

constexpr true_engine slow{40, 19.1};
constexpr true_engine fast{25, 44.2};

/// Estimates of prefill throughput and base latency from the times of first events.
class engine_speed_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_speed_test);
    CPPUNIT_TEST(estimate_without_samples_is_that_of_a_slow_engine);
    CPPUNIT_TEST(estimate_is_accurate_after_forty_calls_at_any_speed);
    CPPUNIT_TEST(calls_of_one_length_still_give_an_estimate);
    CPPUNIT_TEST(prompts_ahead_of_a_call_count_as_prefill);
    CPPUNIT_TEST(calls_that_queued_for_seconds_hardly_change_the_estimate);
    CPPUNIT_TEST(estimate_follows_engines_that_become_slower);
    CPPUNIT_TEST_SUITE_END();

public:
    void estimate_without_samples_is_that_of_a_slow_engine() {
        const engine_speed speed;
        CPPUNIT_ASSERT(speed.tokens_per_ms() <= slow.tokens_per_ms * 1.1);
    }

    void estimate_is_accurate_after_forty_calls_at_any_speed() {
        for (const auto& engine : {slow, fast, true_engine{10, 5}, true_engine{15, 120}}) {
            engine_speed speed;
            feed(speed, engine, 40);
            assert_near(engine, speed, 0.15);
        }
    }

    void calls_of_one_length_still_give_an_estimate() {
        engine_speed speed;
        for (int i = 0; i < 200; ++i) {
            speed.on_first_event(500, 0, fast.time_to_first_event_ms(500));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(fast.time_to_first_event_ms(500),
                                     speed.first_event_ms() + speed.prefill_ms(500), 2.0);
    }

    void prompts_ahead_of_a_call_count_as_prefill() {
        engine_speed speed;
        std::minstd_rand random(7);
        for (int i = 0; i < 60; ++i) {
            const std::size_t own = 200 + random() % 3'000;
            const std::size_t ahead = random() % 2'000;
            speed.on_first_event(own, ahead, slow.time_to_first_event_ms(own + ahead));
        }
        assert_near(slow, speed, 0.15);
    }

    /// Replays a burst that fills the batches: one call in ten waits for a slot on its engine.
    void calls_that_queued_for_seconds_hardly_change_the_estimate() {
        engine_speed speed;
        feed(speed, fast, 60);
        std::minstd_rand random(3);
        for (int i = 0; i < 60; ++i) {
            const std::size_t own = 200 + random() % 3'000;
            const double queued_ms = i % 10 == 0 ? 2'000 : 0;
            speed.on_first_event(own, 0, fast.time_to_first_event_ms(own) + queued_ms);
        }
        CPPUNIT_ASSERT(speed.tokens_per_ms() > fast.tokens_per_ms * 0.5);
        CPPUNIT_ASSERT(speed.first_event_ms() < 3 * fast.first_event_ms);
    }

    void estimate_follows_engines_that_become_slower() {
        engine_speed speed;
        feed(speed, fast, 100);
        feed(speed, slow, 200);
        assert_near(slow, speed, 0.2);
    }

private:
    static void feed(engine_speed& speed, const true_engine& engine, int count) {
        std::minstd_rand random(1);
        for (int i = 0; i < count; ++i) {
            const std::size_t own = 100 + random() % 3'500;
            speed.on_first_event(own, 0, engine.time_to_first_event_ms(own));
        }
    }

    static void assert_near(const true_engine& engine, const engine_speed& speed,
                            double tolerance) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(engine.tokens_per_ms, speed.tokens_per_ms(),
                                     engine.tokens_per_ms * tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(engine.time_to_first_event_ms(1'000),
                                     speed.first_event_ms() + speed.prefill_ms(1'000),
                                     engine.time_to_first_event_ms(1'000) * tolerance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_speed_test);

} // namespace
