#include "quota_load.h"
#include "quota_network.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::quota_load;
using testing::quota_network;

constexpr double rate = 40'000;
constexpr double burst = 80'000;
/// Faults at this rate cost more than the slack of the bound.
constexpr double large_rate = 200'000;
constexpr double calls_at_rate = rate / quota_network::call_tokens;

tenant limits(double per_s = rate) {
    tenant result;
    result.name = "atlas";
    result.unit = quota_unit::tokens;
    result.rate_per_s = per_s;
    result.burst = burst;
    return result;
}

/// The bound without its slack: the tests' faults need none of that.
double bound(double per_s = rate) {
    return (per_s * 8 + burst) * 1.1;
}

class shared_quota_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shared_quota_test);
    CPPUNIT_TEST(tenant_on_one_node_uses_its_limit);
    CPPUNIT_TEST(tenant_on_all_nodes_uses_its_limit);
    CPPUNIT_TEST(tenant_that_moves_between_nodes_uses_its_limit);
    CPPUNIT_TEST(quota_of_a_few_requests_is_used);
    CPPUNIT_TEST(calls_below_the_limit_are_all_served);
    CPPUNIT_TEST(uneven_calls_of_many_tenants_are_refused_no_more_than_by_one_bucket);
    CPPUNIT_TEST(calls_that_are_sent_late_keep_the_bound);
    CPPUNIT_TEST(lost_frames_keep_the_bound);
    CPPUNIT_TEST(dead_and_replaced_allocator_keeps_the_bound);
    CPPUNIT_TEST(nodes_that_are_cut_off_get_shares_within_the_bound);
    CPPUNIT_TEST(nodes_that_request_tokens_are_in_touch_without_a_report);
    CPPUNIT_TEST(tokens_expire_after_their_request);
    CPPUNIT_TEST(share_is_used_once_all_grants_have_expired);
    CPPUNIT_TEST(new_allocator_waits_for_one_lifetime);
    CPPUNIT_TEST(killed_nodes_lose_little_of_the_limit);
    CPPUNIT_TEST(lower_limit_holds_one_window_later);
    CPPUNIT_TEST(restarted_nodes_have_no_tokens);
    CPPUNIT_TEST(calls_that_no_endpoint_ran_cost_nothing);
    CPPUNIT_TEST(frames_of_a_node_do_not_grow_with_the_nodes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<std::size_t, 4> sizes{1, 8, 60, 360};

    static void assert_use(const quota_network& nodes, double share = 0.95) {
        const double use = nodes.use_since(seconds{10});
        CPPUNIT_ASSERT_MESSAGE("use " + std::to_string(use), use >= share * rate);
        assert_bound(nodes);
    }
    static void assert_bound(const quota_network& nodes, double allowed = bound()) {
        const double most = nodes.most_in_window();
        CPPUNIT_ASSERT_MESSAGE("most " + std::to_string(most), most <= allowed);
    }
    /// Demand of `factor` times the limit, equally at all nodes.
    static auto everywhere(std::size_t nodes, double factor) {
        return [=](auto, auto) { return factor * calls_at_rate / static_cast<double>(nodes); };
    }

    // Guards against tokens that are reserved for or held by nodes without calls.
    void tenant_on_one_node_uses_its_limit() {
        for (const auto count : sizes) {
            quota_network nodes(count, limits());
            nodes.demand = [](auto node, auto) { return node == 0 ? 4 * calls_at_rate : 0; };
            nodes.run(seconds{30});
            assert_use(nodes);
        }
    }

    // Guards against shares of a limit that are less than a call each, and so of use to no node.
    void tenant_on_all_nodes_uses_its_limit() {
        for (const auto count : sizes) {
            quota_network nodes(count, limits());
            nodes.demand = everywhere(count, 3);
            nodes.run(seconds{30});
            assert_use(nodes);
        }
    }

    // Guards against tokens that stay at the nodes that the callers have left.
    void tenant_that_moves_between_nodes_uses_its_limit() {
        for (const auto count : sizes) {
            quota_network nodes(count, limits());
            nodes.demand = [count](auto node, milliseconds at) {
                const auto turn = static_cast<std::size_t>(at / seconds{2});
                return node == turn % count ? 1.5 * calls_at_rate : 0;
            };
            nodes.run(seconds{40});
            assert_use(nodes);
        }
    }

    // Guards against fractions of tokens that are granted, and lost where calls take whole ones.
    void quota_of_a_few_requests_is_used() {
        for (const auto count : sizes) {
            auto few = limits(20);
            few.unit = quota_unit::requests;
            few.burst = 10;
            quota_network nodes(count, few);
            nodes.demand = [count](auto, auto) { return 60 / static_cast<double>(count); };
            nodes.run(seconds{30});
            const double use = nodes.use_since(seconds{10});
            CPPUNIT_ASSERT_MESSAGE("use " + std::to_string(use), use >= 0.95 * 20);
            assert_bound(nodes, (20 * 8 + 10) * 1.1);
        }
    }

    // Guards against refusals of calls within the quota, for which tokens would come too late.
    void calls_below_the_limit_are_all_served() {
        for (const auto count : sizes) {
            quota_network nodes(count, limits());
            nodes.demand = everywhere(count, 0.9);
            nodes.run(seconds{30});
            assert_use(nodes, 0.87);
        }
    }

    // Guards against credit that is lost at 69 nodes, and against a node's long call for which its
    // short ones are refused. Calls may wait for their tokens here, in the buckets they may not.
    void uneven_calls_of_many_tenants_are_refused_no_more_than_by_one_bucket() {
        constexpr std::size_t count = 69;
        constexpr seconds from{10};
        quota_load load(count, 1);
        quota_network nodes(count, load.limits());
        nodes.arrivals = [&](auto now) { return load.arrivals(now, quota_network::begin + from); };
        nodes.travel = [](auto node) {
            return std::chrono::microseconds{500 + 22'000 * node / (count - 1)};
        };
        nodes.run(seconds{60});
        double refused = 0;
        double refused_by_buckets = 0;
        for (std::size_t index = 0; index < quota_load::tenants; ++index) {
            refused += load.demanded(index) - nodes.use_since(from, index) * 50;
            refused_by_buckets += load.refused(index);
            const auto& limit = load.limits()[index];
            CPPUNIT_ASSERT(nodes.most_in_window(seconds{0}, index) <=
                           (limit.rate_per_s * 8 + limit.burst) * 1.1 + 72'000);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused / refused_by_buckets),
                               refused <= refused_by_buckets);
    }

    // Guards against calls that are admitted over more than a window and sent within one.
    void calls_that_are_sent_late_keep_the_bound() {
        quota_network nodes(8, limits(large_rate));
        nodes.sends_in_pulses = true;
        nodes.demand = everywhere(8, 20);
        nodes.run(seconds{30});
        assert_bound(nodes, bound(large_rate) + 72'000);
    }

    // Guards against credit for tokens that were spent, and against use of the share together with
    // grants.
    void lost_frames_keep_the_bound() {
        quota_network nodes(60, limits());
        nodes.loss = 0.3;
        nodes.demand = everywhere(60, 4);
        nodes.run(seconds{40});
        assert_bound(nodes);
    }

    // Guards against grants of two allocators in one window, and against a standstill without one.
    void dead_and_replaced_allocator_keeps_the_bound() {
        quota_network nodes(60, limits());
        nodes.demand = everywhere(60, 4);
        for (int turn = 0; turn < 3; ++turn) {
            nodes.run(seconds{6});
            nodes.kill_allocator();
            nodes.run(seconds{turn == 2 ? 30 : 4});
            nodes.replace_allocator();
        }
        assert_bound(nodes);
        CPPUNIT_ASSERT(nodes.use_since(seconds{30}) >= 0.8 * rate);
    }

    // Guards against shares that the allocator grants once more, also after a long time.
    void nodes_that_are_cut_off_get_shares_within_the_bound() {
        quota_network nodes(60, limits(large_rate));
        nodes.demand = everywhere(60, 20);
        nodes.run(seconds{10});
        for (std::size_t node = 0; node < 20; ++node) {
            nodes.cut_off(node, true);
        }
        nodes.run(seconds{40});
        assert_bound(nodes, bound(large_rate) + 72'000);
        CPPUNIT_ASSERT(nodes.use_since(seconds{30}) >= 0.9 * large_rate);
    }

    // Guards against shares that are reserved for nodes with answers, while their data centres have
    // no lead: half of all calls were refused for 10 s after a restart of 69 nodes.
    void nodes_that_request_tokens_are_in_touch_without_a_report() {
        quota_network nodes(60, limits());
        nodes.leads_report = false;
        nodes.demand = everywhere(60, 3);
        nodes.run(seconds{30});
        assert_use(nodes);
    }

    // Guards against tokens that a suspended node spends long after they were granted.
    void tokens_expire_after_their_request() {
        const support::time_point asked{std::chrono::hours{1}};
        quota_wallet wallet;
        wallet.configure(std::vector{limits()});
        wallet.on_answer(std::vector{quota_grant::row{"atlas", 2'000, {}}}, asked, asked);
        const auto take = [&](milliseconds after) {
            return wallet.take("atlas", 1, 700, asked + after) == quota_decision::granted;
        };
        CPPUNIT_ASSERT(take(quota_grant_lifetime - milliseconds{1}));
        CPPUNIT_ASSERT(!take(quota_grant_lifetime));
    }

    // Guards against refusals between the expiry of the last grants and the use of the share.
    void share_is_used_once_all_grants_have_expired() {
        const support::time_point asked{std::chrono::hours{1}};
        quota_wallet wallet;
        wallet.configure(std::vector{limits()});
        wallet.set_nodes(8);
        CPPUNIT_ASSERT(wallet.take("atlas", 1, 700, asked) == quota_decision::waits);
        CPPUNIT_ASSERT(wallet.take_due_request(asked));
        wallet.on_answer({}, asked, asked);
        const auto unanswered = asked + quota_wallet::request_period;
        CPPUNIT_ASSERT(wallet.take_due_request(unanswered));
        const auto granted_after = [&](milliseconds time) {
            return wallet.take_granted(unanswered + quota_grant_lifetime + time).size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, granted_after(milliseconds{-10}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, granted_after(milliseconds{0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted_after(milliseconds{150}));
    }

    // Guards against grants while tokens of a former allocator are valid.
    void new_allocator_waits_for_one_lifetime() {
        const support::time_point started{std::chrono::hours{1}};
        quota_allocator allocator;
        allocator.configure(std::vector{limits()}, started);
        allocator.set_nodes(1, started);
        allocator.start(started);
        allocator.on_nodes_in_touch("north", 1, started);
        const auto granted = [&](milliseconds after) {
            const auto now = started + after;
            allocator.request("node", {1, 0, false, {{"atlas", 700, 700, 700, 0, 0}}}, now);
            const auto grants = allocator.take_grants(now);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
            return grants.front().rows.front().amount;
        };
        CPPUNIT_ASSERT_EQUAL(0.0, granted(quota_grant_lifetime));
        CPPUNIT_ASSERT_EQUAL(700.0, granted(quota_grant_lifetime + milliseconds{20}));
    }

    // Guards against the loss of a killed node's share for ever.
    void killed_nodes_lose_little_of_the_limit() {
        quota_network nodes(60, limits());
        nodes.demand = everywhere(60, 3);
        nodes.run(seconds{10});
        nodes.kill(3);
        nodes.kill(4);
        nodes.run(seconds{30});
        assert_use(nodes);
    }

    // Guards against tokens of the former limit that stay in the bucket or at the nodes.
    void lower_limit_holds_one_window_later() {
        quota_network nodes(8, limits());
        nodes.demand = everywhere(8, 4);
        nodes.run(seconds{20});
        nodes.set_rate(rate / 4);
        nodes.run(seconds{20});
        CPPUNIT_ASSERT(nodes.most_in_window(seconds{28}) <= rate / 4 * 8 * 1.1);
    }

    // Guards against a burst per restart.
    void restarted_nodes_have_no_tokens() {
        quota_network nodes(8, limits());
        nodes.demand = everywhere(8, 4);
        for (int turn = 0; turn < 5; ++turn) {
            nodes.run(seconds{3});
            for (std::size_t node = 0; node < 8; ++node) {
                nodes.restart(node);
            }
            nodes.replace_allocator();
        }
        assert_bound(nodes);
    }

    // Guards against a quota that is used up by calls that are refused for another reason.
    void calls_that_no_endpoint_ran_cost_nothing() {
        quota_network nodes(8, limits());
        nodes.refused_share = 0.5;
        nodes.demand = everywhere(8, 3);
        nodes.run(seconds{30});
        assert_use(nodes);
    }

    // Guards against a node's costs that grow with the system.
    void frames_of_a_node_do_not_grow_with_the_nodes() {
        const auto frames = [](std::size_t count) {
            quota_network nodes(count, limits());
            nodes.demand = [](auto, auto) { return 2.0; };
            nodes.run(seconds{20});
            return nodes.frames_of_node(0);
        };
        CPPUNIT_ASSERT(frames(60) <= std::size_t{20} * 20);
        CPPUNIT_ASSERT(frames(360) <= std::size_t{20} * 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_quota_test);

} // namespace
