#include "dragonflystair/policy/load_permits.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::policy;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr support::time_point start{std::chrono::hours{1}};
/// Earliest time at which a holder since `start` grants permits.
constexpr support::time_point first = start + seconds{5};

class load_permits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_permits_test);
    CPPUNIT_TEST(new_holder_grants_nothing_for_one_lifetime);
    CPPUNIT_TEST(concurrency_at_limit_grants_nothing);
    CPPUNIT_TEST(transit_limit_below_concurrency_is_enforced);
    CPPUNIT_TEST(rate_in_any_second_is_not_exceeded);
    CPPUNIT_TEST(most_urgent_request_is_first);
    CPPUNIT_TEST(old_request_overtakes_urgent_ones);
    CPPUNIT_TEST(permit_that_is_not_returned_expires);
    CPPUNIT_TEST(request_that_is_not_renewed_expires);
    CPPUNIT_TEST(repeated_request_while_permit_is_outstanding_grants_no_second);
    CPPUNIT_TEST(permit_of_former_holder_is_not_returned_to_new_one);
    CPPUNIT_TEST(failed_loads_reduce_the_rate);
    CPPUNIT_TEST(random_loads_over_holder_changes_stay_within_limits);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against permits beyond the limits while permits of the former holder are in use.
    void new_holder_grants_nothing_for_one_lifetime() {
        load_permits permits(store_limits{}, start);
        permits.request("e", "a", 1, first - milliseconds{1});
        CPPUNIT_ASSERT(permits.poll(first - milliseconds{1}).empty());
        CPPUNIT_ASSERT(first == permits.next_wakeup(first - milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permits.poll(first).size());
    }

    void concurrency_at_limit_grants_nothing() {
        auto permits = with_requests(store_limits{}, 5);
        const auto granted = permits.poll(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, granted.size());
        permits.return_permit(granted[0].number, false, first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permits.poll(first).size());
    }

    void transit_limit_below_concurrency_is_enforced() {
        auto permits = with_requests(store_limits{.transit_limit = 2}, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, permits.poll(first).size());
    }

    void rate_in_any_second_is_not_exceeded() {
        auto permits = with_requests(store_limits{.concurrent_loads = 20}, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, permits.poll(first).size());
        CPPUNIT_ASSERT(permits.poll(first + milliseconds{999}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, permits.poll(first + seconds{1}).size());
    }

    void most_urgent_request_is_first() {
        load_permits permits(store_limits{.concurrent_loads = 1}, start);
        permits.request("e", "a", 1, first);
        permits.request("e", "b", 3, first);
        permits.request("e", "c", 2, first);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), permits.poll(first).at(0).adapter);
    }

    /// Guards against starvation behind more urgent requests.
    void old_request_overtakes_urgent_ones() {
        load_permits permits(store_limits{.concurrent_loads = 1}, start);
        permits.request("e", "old", 1, first - seconds{12});
        for (int second = 10; second >= 0; --second) {
            permits.request("e", "old", 1, first - seconds{second});
        }
        permits.request("e", "urgent", 10, first);
        CPPUNIT_ASSERT_EQUAL(std::string("old"), permits.poll(first).at(0).adapter);
    }

    void permit_that_is_not_returned_expires() {
        load_permits permits(store_limits{.concurrent_loads = 1}, start);
        permits.request("e", "a", 1, first);
        permits.poll(first);
        permits.request("e", "b", 1, first + milliseconds{4'999});
        CPPUNIT_ASSERT(permits.poll(first + milliseconds{4'999}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permits.poll(first + seconds{5}).size());
    }

    void request_that_is_not_renewed_expires() {
        auto permits = with_requests(store_limits{}, 1);
        CPPUNIT_ASSERT(permits.poll(first + load_permits::request_lifetime).empty());
    }

    void repeated_request_while_permit_is_outstanding_grants_no_second() {
        auto permits = with_requests(store_limits{}, 1);
        permits.poll(first);
        permits.request("e", "0", 1, first);
        CPPUNIT_ASSERT(permits.poll(first + seconds{1}).empty());
    }

    /// Guards against a permit number that two holders have used.
    void permit_of_former_holder_is_not_returned_to_new_one() {
        load_permits former(store_limits{.concurrent_loads = 1}, start, 1);
        former.request("e", "a", 1, first);
        const auto old = former.poll(first).at(0).number;
        load_permits permits(store_limits{.concurrent_loads = 1}, start, 2);
        permits.request("e", "b", 1, first);
        permits.poll(first);
        permits.return_permit(old, false, first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permits.outstanding(first));
    }

    /// Guards against a burst of loads at a store that has just recovered.
    void failed_loads_reduce_the_rate() {
        auto permits = with_requests(store_limits{.concurrent_loads = 20}, 20);
        for (const auto& permit : permits.poll(first)) {
            permits.return_permit(permit.number, true, first);
        }
        const auto later = first + milliseconds{2'900};
        CPPUNIT_ASSERT(permits.poll(first + seconds{1}).empty());
        CPPUNIT_ASSERT(permits.poll(later).size() <= 1);
    }

    /// Counts every load that any holder has permitted, including a former holder that has not yet
    /// detected the loss of its grant. Guards against a total above the limits.
    void random_loads_over_holder_changes_stay_within_limits() {
        for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
            run_random(seed);
        }
    }

private:
    static load_permits with_requests(store_limits limits, int count) {
        load_permits permits(limits, start);
        for (int i = 0; i < count; ++i) {
            permits.request("e", std::to_string(i), 1, first);
        }
        return permits;
    }

    struct load {
        std::uint64_t number;
        support::time_point begin;
        support::time_point end;
    };

    static void run_random(unsigned seed) {
        // NOLINTNEXTLINE(bugprone-random-generator-seed): the run has to be repeatable.
        std::mt19937_64 random(seed);
        const store_limits limits;
        auto permits = std::make_unique<load_permits>(limits, start, 1);
        std::vector<load> loads;
        std::uint64_t grant = 1;
        for (int step = 0; step < 6'000; ++step) {
            const auto now = start + step * milliseconds{10};
            if (random() % 1'500 == 0) {
                permits = std::make_unique<load_permits>(limits, now, ++grant);
            }
            permits->request("e", std::to_string(random() % 30), 1.0 * (random() % 5), now);
            for (auto& item : loads) {
                if (item.end <= now && item.number != 0) {
                    permits->return_permit(std::exchange(item.number, 0), random() % 10 == 0, now);
                }
            }
            for (const auto& permit : permits->poll(now)) {
                const milliseconds duration{random() % 20 == 0 ? 5'000 : 100 + random() % 400};
                loads.push_back({permit.number, now, now + duration});
            }
            check_limits(loads, limits, now);
        }
        CPPUNIT_ASSERT(loads.size() > 50);
    }

    static void check_limits(const std::vector<load>& loads, const store_limits& limits,
                             support::time_point now) {
        const auto running = std::ranges::count_if(
            loads, [&](const auto& item) { return item.begin <= now && item.end > now; });
        const auto recent = std::ranges::count_if(
            loads, [&](const auto& item) { return now - item.begin < seconds{1}; });
        CPPUNIT_ASSERT(running <= static_cast<std::ptrdiff_t>(limits.concurrent_loads));
        CPPUNIT_ASSERT(recent <= 6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_permits_test);

} // namespace
