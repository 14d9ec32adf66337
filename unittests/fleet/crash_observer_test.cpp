#include "dragonflystair/fleet/crash_observer.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr support::time_point start{std::chrono::hours{1}};

/// Crashes of endpoints as seen in the connections of one node.
class crash_observer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_observer_test);
    CPPUNIT_TEST(connections_lost_together_are_one_crash);
    CPPUNIT_TEST(response_broken_off_by_a_live_endpoint_is_no_crash);
    CPPUNIT_TEST(bytes_sent_before_the_crash_do_not_hide_it);
    CPPUNIT_TEST(answer_without_length_before_a_refused_connection_is_in_the_crash);
    CPPUNIT_TEST(answer_without_length_of_a_live_endpoint_was_served);
    CPPUNIT_TEST(answer_without_length_stays_open_without_further_evidence);
    CPPUNIT_TEST(connections_of_an_earlier_run_are_not_mixed_with_the_next);
    CPPUNIT_TEST(connection_of_an_earlier_run_lost_late_keeps_the_evidence_of_the_next);
    CPPUNIT_TEST(connection_refused_by_an_earlier_run_is_no_crash_of_the_next);
    CPPUNIT_TEST(last_part_of_a_prompt_is_no_trait);
    CPPUNIT_TEST_SUITE_END();

public:
    void connections_lost_together_are_one_crash() {
        observer_.on_connection_lost("a", 1, {7, {1}}, start);
        observer_.on_connection_lost("a", 1, {8, {2}}, start + milliseconds{2});
        CPPUNIT_ASSERT(observer_.take_crashes(start + milliseconds{10}).empty());
        const auto crashes = observer_.take_crashes(start + milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.front().requests.size());
        CPPUNIT_ASSERT(crashes.front().age == milliseconds{100});
        CPPUNIT_ASSERT(observer_.take_crashes(start + seconds{1}).empty());
    }

    void response_broken_off_by_a_live_endpoint_is_no_crash() {
        observer_.on_connection_lost("a", 1, {7, {1}}, start);
        observer_.on_response("a", 1, start + milliseconds{40});
        CPPUNIT_ASSERT(observer_.take_crashes(start + seconds{1}).empty());
    }

    void bytes_sent_before_the_crash_do_not_hide_it() {
        observer_.on_connection_lost("a", 1, {7, {1}}, start);
        observer_.on_response("a", 1, start + milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer_.take_crashes(start + seconds{1}).size());
    }

    void answer_without_length_before_a_refused_connection_is_in_the_crash() {
        observer_.on_ended_with_connection("a", 1, {7, {1}}, start);
        observer_.on_gone("a", 1, start + seconds{1});
        const auto crashes = observer_.take_crashes(start + seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, crashes.front().requests.at(0).fingerprint);
        CPPUNIT_ASSERT(observer_.take_served().empty());
    }

    void answer_without_length_of_a_live_endpoint_was_served() {
        observer_.on_ended_with_connection("a", 1, {7, {1}}, start);
        observer_.on_response("a", 1, start + milliseconds{500});
        observer_.on_gone("a", 1, start + seconds{1});
        CPPUNIT_ASSERT(observer_.take_crashes(start + seconds{2}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, observer_.take_served().size());
    }

    void answer_without_length_stays_open_without_further_evidence() {
        observer_.on_ended_with_connection("a", 1, {7, {1}}, start);
        CPPUNIT_ASSERT(observer_.take_crashes(start + seconds{60}).empty());
        observer_.on_gone("a", 1, start + seconds{61});
        CPPUNIT_ASSERT(observer_.take_crashes(start + seconds{62}).empty());
        CPPUNIT_ASSERT(observer_.take_served().empty());
    }

    void connections_of_an_earlier_run_are_not_mixed_with_the_next() {
        observer_.on_connection_lost("a", 1, {7, {1}}, start);
        observer_.on_connection_lost("a", 2, {8, {2}}, start + milliseconds{10});
        observer_.on_response("a", 1, start + milliseconds{50});
        const auto crashes = observer_.take_crashes(start + seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, crashes.front().started_ms);
    }

    /// Guards against requests that crash endpoints and are never blocked.
    void connection_of_an_earlier_run_lost_late_keeps_the_evidence_of_the_next() {
        observer_.on_connection_lost("a", 2, {8, {2}}, start);
        observer_.on_connection_lost("a", 1, {7, {1}}, start + milliseconds{10});
        const auto crashes = observer_.take_crashes(start + seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, crashes.front().requests.at(0).fingerprint);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, crashes.back().requests.at(0).fingerprint);
    }

    /// Guards against sound requests that are blamed for the end of a former run.
    void connection_refused_by_an_earlier_run_is_no_crash_of_the_next() {
        observer_.on_ended_with_connection("a", 2, {7, {1}}, start);
        observer_.on_gone("a", 1, start + milliseconds{100});
        CPPUNIT_ASSERT(observer_.take_crashes(start + seconds{1}).empty());
    }

    void last_part_of_a_prompt_is_no_trait() {
        const std::vector<prompt_part> prompt{{1, 96}, {2, 130}, {1, 96}, {9, 10}};
        const auto traits = traits_of(7, prompt);
        CPPUNIT_ASSERT(traits.parts == std::vector<std::uint64_t>({1, 2}));
        CPPUNIT_ASSERT(traits_of(7, {}).parts.empty());
    }

private:
    crash_observer observer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_observer_test);

} // namespace
