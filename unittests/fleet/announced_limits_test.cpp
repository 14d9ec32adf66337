#include "dragonflystair/fleet/announced_limits.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

/// Limits that an endpoint names in its responses, with a manual clock.
class announced_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announced_limits_test);
    CPPUNIT_TEST(response_without_limit_leaves_endpoint_unlimited);
    CPPUNIT_TEST(named_limit_is_in_force_until_later_response_omits_it);
    CPPUNIT_TEST(response_to_earlier_request_does_not_end_limit);
    CPPUNIT_TEST(lower_limit_replaces_higher_one_in_any_order);
    CPPUNIT_TEST(higher_limit_replaces_lower_one_only_if_newer);
    CPPUNIT_TEST(old_observation_of_peer_does_not_restore_ended_limit);
    CPPUNIT_TEST(endpoint_that_names_limit_in_every_other_response_does_not_flip_it);
    CPPUNIT_TEST(restart_ends_limit);
    CPPUNIT_TEST(limit_named_just_before_a_run_is_listed_holds_for_it);
    CPPUNIT_TEST(limit_of_run_with_earlier_start_is_observed);
    CPPUNIT_TEST(requests_are_counted_by_kind_while_limit_is_in_force);
    CPPUNIT_TEST_SUITE_END();

public:
    void response_without_limit_leaves_endpoint_unlimited() {
        CPPUNIT_ASSERT(!observe(0, 10, std::nullopt));
        CPPUNIT_ASSERT(!per_s());
        CPPUNIT_ASSERT(limits_.find("e") == nullptr);
    }

    void named_limit_is_in_force_until_later_response_omits_it() {
        CPPUNIT_ASSERT(observe(0, 10, 2.5));
        CPPUNIT_ASSERT(!observe(10, 20, 2.5));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, *per_s(), 1e-9);
        CPPUNIT_ASSERT(observe(520, 530, std::nullopt));
        CPPUNIT_ASSERT(!per_s());
    }

    void response_to_earlier_request_does_not_end_limit() {
        observe(0, 10, 2.5);
        CPPUNIT_ASSERT(!observe(5, 30, std::nullopt));
        CPPUNIT_ASSERT(per_s());
    }

    void lower_limit_replaces_higher_one_in_any_order() {
        observe(0, 10, 2.5);
        CPPUNIT_ASSERT(observe(5, 30, 1.5));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, *per_s(), 1e-9);
    }

    void higher_limit_replaces_lower_one_only_if_newer() {
        observe(0, 10, 2.5);
        CPPUNIT_ASSERT(!observe(5, 30, 4.0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, *per_s(), 1e-9);
        CPPUNIT_ASSERT(observe(510, 540, 4.0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, *per_s(), 1e-9);
    }

    void old_observation_of_peer_does_not_restore_ended_limit() {
        observe(0, 10, 2.5);
        observe(600, 610, std::nullopt);
        CPPUNIT_ASSERT(!observe(100, 400, 2.5));
        CPPUNIT_ASSERT(!per_s());
    }

    /// Each change is sent to all nodes, so hundreds of them a second would be harmful.
    void endpoint_that_names_limit_in_every_other_response_does_not_flip_it() {
        int changes = 0;
        constexpr int responses = 1'000;
        for (int number = 0; number < responses; ++number) {
            const auto named = number % 2 == 0 ? std::optional(2.5) : std::nullopt;
            changes += observe(10 * number, 10 * number + 5, named) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, changes);
        CPPUNIT_ASSERT(per_s());
    }

    void restart_ends_limit() {
        observe(0, 10, 2.5);
        CPPUNIT_ASSERT(!limits_.per_s("e", first_start + 1));
        CPPUNIT_ASSERT(limits_.observe("e", {first_start + 1, {}, at(20), at(30)}));
        CPPUNIT_ASSERT(!observe(40, 50, 2.5)); // Of the previous run.
        CPPUNIT_ASSERT(!limits_.per_s("e", first_start + 1));
    }

    /// Guards against a burst at an endpoint whose run is listed after its first answers (LIMIT).
    void limit_named_just_before_a_run_is_listed_holds_for_it() {
        observe(0, 10, 2.5);
        limits_.on_run_listed("e", first_start, first_start + 1, at(600));
        CPPUNIT_ASSERT(limits_.per_s("e", first_start + 1).has_value());
        CPPUNIT_ASSERT(limits_.observe("e", {first_start + 1, {}, at(700), at(710)}));
        CPPUNIT_ASSERT(!limits_.per_s("e", first_start + 1));
        observe_run(first_start + 1, 2.5);
        limits_.on_run_listed("e", first_start + 1, first_start + 2, at(60'000));
        CPPUNIT_ASSERT(!limits_.per_s("e", first_start + 2));
    }

    /// Guards against a limit that is ignored since the endpoint's clock was set back (LIMIT).
    void limit_of_run_with_earlier_start_is_observed() {
        observe(0, 10, 2.5);
        limits_.on_run_listed("e", first_start, first_start - 1, at(60'000));
        CPPUNIT_ASSERT(observe_run(first_start - 1, 4.0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, *limits_.per_s("e", first_start - 1), 1e-9);
    }

    void requests_are_counted_by_kind_while_limit_is_in_force() {
        limits_.on_sent("e", request_kind::first_try);
        CPPUNIT_ASSERT(limits_.take_use().empty());
        observe(0, 10, 2.5);
        limits_.on_sent("e", request_kind::first_try);
        limits_.on_sent("e", request_kind::order);
        limits_.on_sent("e", request_kind::order);
        const auto use = limits_.take_use();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, use.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, use.front().sent.at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, use.front().sent.at(3));
        CPPUNIT_ASSERT(limits_.take_use().empty());
    }

private:
    static constexpr std::uint64_t first_start = 1;

    static support::time_point at(int ms) {
        return support::time_point{std::chrono::hours{1} + milliseconds{ms}};
    }
    bool observe(int sent_ms, int received_ms, std::optional<double> per_s) {
        return limits_.observe("e", {first_start, per_s, at(sent_ms), at(received_ms)});
    }
    bool observe_run(std::uint64_t started_ms, double per_s) {
        return limits_.observe("e", {started_ms, per_s, at(20'000), at(20'010)});
    }
    std::optional<double> per_s() const { return limits_.per_s("e", first_start); }

    announced_limits limits_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(announced_limits_test);

} // namespace
