#include "dragonflystair/fleet/fair_queue.h"

#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr std::size_t tenant_count = 16;
/// Tenants 0 and 1 usually send four times as much as each of the others.
constexpr std::size_t flooding = 1;
constexpr double flood = 8;
constexpr std::size_t repeating = 9;

double usual_load(std::size_t tenant) {
    return tenant < 2 ? 4 : 1;
}

/// Shares of the calls that were answered within their objective.
struct outcome {
    std::vector<double> served; ///< By tenant, relative to its usual load; 1 at most.
    double all = 0;             ///< Of all tenants.
    /// Share of the flooding tenant's refused calls that are refused in the first quarter of their
    /// objective.
    double refused_early = 0;

    /// Returns the share of the worst tenth of the tenants.
    [[nodiscard]] double worst_tenth() const {
        auto sorted = served;
        std::ranges::sort(sorted);
        return (sorted[0] + sorted[1]) / 2;
    }
};

/// A service in overload: one tenant sends eight times its usual load, another one repeats each
/// refused call in the next millisecond.
class overload {
public:
    struct load {
        std::size_t slots = 0;
        milliseconds duration{}; ///< Mean of the calls.
        double per_s = 0;        ///< Usual number of calls of all tenants.
        std::size_t tokens = 0;  ///< Of each call; 0 makes a plain service.
    };

    explicit overload(const load& chosen)
        : duration_(chosen.duration), per_s_(chosen.per_s), tokens_(chosen.tokens) {
        const auto [slots, duration, per_s, tokens] = chosen;
        configuration current;
        auto& definition = current.services["s"];
        definition.name = "s";
        definition.has_engines = tokens > 0;
        definition.engines.batch_slots = slots;
        for (std::size_t i = 0; i < tenant_count; ++i) {
            auto& added = current.tenants.emplace_back();
            added.name = std::to_string(i);
            added.rate_per_s = usual_load(i);
        }
        dispatcher_.configure(current);
        dispatcher_.update(sample_endpoint("a", "s", slots));
    }

    outcome run(bool with_tenants) {
        with_tenants_ = with_tenants;
        for (now_ = start; now_ < start + length; now_ += milliseconds{1}) {
            end_calls();
            for (const auto& call : std::exchange(repeated_, {})) {
                submit(call.tenant, call.arrived);
            }
            for (std::size_t tenant = 0; tenant < tenant_count; ++tenant) {
                const double sent = usual_load(tenant) * (tenant == flooding ? flood : 1);
                std::poisson_distribution<int> arrivals(per_s_ * sent / total_load / 1'000);
                for (int i = arrivals(random_); i > 0; --i) {
                    submit(tenant, now_);
                    ++arrived_[tenant];
                }
            }
            pump();
        }
        outcome result;
        double all = 0;
        double all_usual = 0;
        for (std::size_t tenant = 0; tenant < tenant_count; ++tenant) {
            const auto usual =
                static_cast<double>(arrived_[tenant]) / (tenant == flooding ? flood : 1);
            const auto served = std::min(static_cast<double>(in_time_[tenant]), usual);
            result.served.push_back(served / usual);
            all += served;
            all_usual += usual;
        }
        result.all = all / all_usual;
        result.refused_early = static_cast<double>(refused_early_) /
                               static_cast<double>(std::max<std::size_t>(refused_[flooding], 1));
        return result;
    }

private:
    static constexpr std::chrono::seconds length{10};
    static constexpr double total_load = 22;
    static constexpr milliseconds objective{400};

    struct open {
        std::size_t tenant = 0;
        support::time_point arrived; ///< Of the first attempt.
    };

    void submit(std::size_t tenant, support::time_point arrived) {
        auto call = sample_call(++last_number_, "s", now_, objective);
        call.prompt_tokens = tokens_;
        call.tenant = with_tenants_ ? std::to_string(tenant) : std::string();
        calls_[call.number] = {tenant, arrived};
        dispatcher_.submit(call);
    }

    void pump() {
        for (const auto& decision : dispatcher_.pump(now_)) {
            const auto call = calls_.at(decision.number);
            if (!decision.endpoint.empty()) {
                dispatcher_.on_started(decision.number, now_);
                const double share = std::uniform_real_distribution{0.5, 1.5}(random_);
                running_.emplace(
                    now_ + std::chrono::duration_cast<support::duration>(duration_ * share),
                    decision.number);
                in_time_[call.tenant] += now_ - call.arrived <= objective ? 1 : 0;
                continue;
            }
            dispatcher_.finish(decision.number, now_);
            ++refused_[call.tenant];
            refused_early_ +=
                call.tenant == flooding && now_ - call.arrived <= objective / 4 ? 1 : 0;
            if (call.tenant == repeating && now_ - call.arrived <= objective) {
                repeated_.push_back(call);
            }
        }
    }

    void end_calls() {
        while (!running_.empty() && running_.begin()->first <= now_) {
            dispatcher_.finish(running_.begin()->second, now_);
            running_.erase(running_.begin());
        }
    }

    milliseconds duration_;
    double per_s_;
    std::size_t tokens_;
    bool with_tenants_ = false;
    dispatcher dispatcher_{topology("north", {{"north", "n"}})};
    std::mt19937 random_{7};
    support::time_point now_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, open> calls_;
    std::multimap<support::time_point, std::uint64_t> running_;
    std::vector<open> repeated_;
    std::map<std::size_t, std::size_t> arrived_; ///< Calls by tenant, without repetitions.
    std::map<std::size_t, std::size_t> in_time_;
    std::map<std::size_t, std::size_t> refused_;
    std::size_t refused_early_ = 0; ///< Calls of the flooding tenant.
};

pending_call waiting_call(std::uint64_t number, const std::string& tenant, milliseconds due,
                          int priority = 0) {
    auto call = sample_call(number, "s", start, due);
    call.tenant = tenant;
    call.priority = priority;
    return call;
}

class fair_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(calls_without_tenants_are_ordered_by_deadline_and_priority);
    CPPUNIT_TEST(overloaded_plain_service_serves_the_tenants_within_their_shares);
    CPPUNIT_TEST(overloaded_engine_serves_the_tenants_within_their_shares);
    CPPUNIT_TEST(less_urgent_tenant_is_delayed_but_served);
    CPPUNIT_TEST(tenant_that_was_idle_gets_a_limited_credit);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change of the decisions where the configuration has no tenants.
    void calls_without_tenants_are_ordered_by_deadline_and_priority() {
        std::mt19937 random{3};
        fair_queue queue;
        std::vector<std::pair<int, std::uint64_t>> expected;
        for (std::uint64_t number = 1; number <= 500; ++number) {
            const int due = std::uniform_int_distribution<int>{0, 400}(random);
            const int priority = std::uniform_int_distribution<int>{0, 3}(random);
            queue.add(waiting_call(number, {}, milliseconds{due}, priority));
            expected.emplace_back(due + 150 * priority, number);
        }
        std::ranges::stable_sort(expected, {}, &std::pair<int, std::uint64_t>::first);
        for (int round = 0; round < 100; ++round) {
            queue.on_no_slot("s");
            const auto order = queue.order(start + milliseconds{10 * round});
            CPPUNIT_ASSERT_EQUAL(expected.size(), order.size());
            for (std::size_t i = 0; i < order.size(); ++i) {
                CPPUNIT_ASSERT_EQUAL(expected[i].second, order[i].number());
                CPPUNIT_ASSERT(order[i].expected_wait() == support::duration{});
            }
            queue.start(expected.front().second);
            expected.erase(expected.begin());
        }
    }

    /// Guards against one tenant that sends or repeats more taking the others' share: six slots
    /// with calls of 60 ms at nine tenths of their capacity before the overload.
    void overloaded_plain_service_serves_the_tenants_within_their_shares() {
        assert_fair({6, milliseconds{60}, 90, 0});
    }

    /// The same for an engine with 32 slots, whose calls take 700 ms.
    void overloaded_engine_serves_the_tenants_within_their_shares() {
        assert_fair({32, milliseconds{700}, 41, 700});
    }

    /// Guards against priorities that starve the tenants of lower ones.
    void less_urgent_tenant_is_delayed_but_served() {
        auto started = started_calls("b", 3);
        CPPUNIT_ASSERT(started["b"] >= 55);
        CPPUNIT_ASSERT(started["b"] < started["a"]);
    }

    /// Guards against a tenant that was idle for long delaying the others as long.
    void tenant_that_was_idle_gets_a_limited_credit() {
        auto started = started_calls("c", 0);
        CPPUNIT_ASSERT(started["c"] > 100);
        CPPUNIT_ASSERT(started["c"] <= 125);
    }

private:
    static void assert_fair(const overload::load& scenario) {
        const auto fair = overload(scenario).run(true);
        const auto by_deadline = overload(scenario).run(false);
        CPPUNIT_ASSERT(fair.worst_tenth() >= 0.5 * fair.all);
        CPPUNIT_ASSERT(*std::ranges::min_element(fair.served) >= 0.25 * fair.all);
        CPPUNIT_ASSERT(fair.worst_tenth() >= 0.8);
        CPPUNIT_ASSERT(fair.refused_early >= 0.5);
        CPPUNIT_ASSERT(by_deadline.worst_tenth() < 0.5);
    }

    /// Starts a call every 5 ms for 2 s from a queue in which tenant "a" always has calls and, in
    /// the second half, the other one too. Returns the calls that started in that half.
    static std::map<std::string, int> started_calls(const std::string& other, int priority) {
        fair_queue queue;
        std::map<std::string, int> started;
        std::map<std::uint64_t, std::string> tenants;
        std::uint64_t number = 0;
        const auto add = [&](const std::string& tenant, int step, int its_priority) {
            tenants[++number] = tenant;
            queue.add(waiting_call(number, tenant, milliseconds{5 * step}, its_priority));
        };
        for (int step = 0; step < 400; ++step) {
            add("a", step, 0);
            add("a", step, 0);
            if (step >= 200) {
                add(other, step, priority);
            }
            const auto next = queue.order(start + milliseconds{5 * step}).front().number();
            started[tenants[next]] += step >= 200 ? 1 : 0;
            queue.start(next);
            queue.on_no_slot("s");
        }
        return started;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);

} // namespace
