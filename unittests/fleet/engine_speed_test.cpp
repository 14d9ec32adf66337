#include "dragonflystair/fleet/engine_speed.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <random>

namespace {

using dragonflystair::fleet::engine_speed;

/// An engine as the platform's deployments have them.
struct true_engine {
    double first_event_ms = 0;
    double tokens_per_ms = 0;

    [[nodiscard]] double begins_after_ms(std::size_t tokens) const {
        return first_event_ms + static_cast<double>(tokens) / tokens_per_ms;
    }
};

constexpr true_engine slow{40, 19.1};
constexpr true_engine fast{25, 44.2};

/// How fast engines are, learned from when generations begin.
class engine_speed_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_speed_test);
    CPPUNIT_TEST(engine_without_samples_is_taken_for_a_slow_one);
    CPPUNIT_TEST(engines_of_any_speed_are_known_after_forty_calls);
    CPPUNIT_TEST(calls_of_one_length_still_give_a_line);
    CPPUNIT_TEST(prompts_ahead_of_a_call_count_as_reading);
    CPPUNIT_TEST(calls_that_queued_for_seconds_hardly_change_the_speed);
    CPPUNIT_TEST(engines_that_become_slower_are_known_as_such);
    CPPUNIT_TEST_SUITE_END();

public:
    void engine_without_samples_is_taken_for_a_slow_one() {
        const engine_speed speed;
        CPPUNIT_ASSERT(speed.tokens_per_ms() <= slow.tokens_per_ms * 1.1);
    }

    void engines_of_any_speed_are_known_after_forty_calls() {
        for (const auto& engine : {slow, fast, true_engine{10, 5}, true_engine{15, 120}}) {
            engine_speed speed;
            feed(speed, engine, 40);
            assert_near(engine, speed, 0.15);
        }
    }

    void calls_of_one_length_still_give_a_line() {
        engine_speed speed;
        for (int i = 0; i < 200; ++i) {
            speed.on_first_event(500, 0, fast.begins_after_ms(500));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(fast.begins_after_ms(500),
                                     speed.first_event_ms() + speed.prefill_ms(500), 2.0);
    }

    void prompts_ahead_of_a_call_count_as_reading() {
        engine_speed speed;
        std::minstd_rand random(7);
        for (int i = 0; i < 60; ++i) {
            const std::size_t own = 200 + random() % 3'000;
            const std::size_t ahead = random() % 2'000;
            speed.on_first_event(own, ahead, slow.begins_after_ms(own + ahead));
        }
        assert_near(slow, speed, 0.15);
    }

    /// Replays a burst that fills the batches: one call in ten waits for a place at its engine.
    void calls_that_queued_for_seconds_hardly_change_the_speed() {
        engine_speed speed;
        feed(speed, fast, 60);
        std::minstd_rand random(3);
        for (int i = 0; i < 60; ++i) {
            const std::size_t own = 200 + random() % 3'000;
            const double queued_ms = i % 10 == 0 ? 2'000 : 0;
            speed.on_first_event(own, 0, fast.begins_after_ms(own) + queued_ms);
        }
        CPPUNIT_ASSERT(speed.tokens_per_ms() > fast.tokens_per_ms * 0.5);
        CPPUNIT_ASSERT(speed.first_event_ms() < 3 * fast.first_event_ms);
    }

    void engines_that_become_slower_are_known_as_such() {
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
            speed.on_first_event(own, 0, engine.begins_after_ms(own));
        }
    }

    static void assert_near(const true_engine& engine, const engine_speed& speed, double part) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(engine.tokens_per_ms, speed.tokens_per_ms(),
                                     engine.tokens_per_ms * part);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(engine.begins_after_ms(1'000),
                                     speed.first_event_ms() + speed.prefill_ms(1'000),
                                     engine.begins_after_ms(1'000) * part);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_speed_test);

} // namespace
