#include "dragonflystair/fleet/send_permits.h"

#include "adapter_planner_fixture.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::seconds;

constexpr double limit_per_s = 2;
/// A divider's answer from which the next permit is expected in time, and one from which it is not.
constexpr milliseconds short_interval{200};
constexpr milliseconds long_interval{5'000};

/// Calls to plain endpoints that name a rate limit.
class limited_endpoint_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limited_endpoint_test);
    CPPUNIT_TEST(call_goes_to_endpoint_without_limit);
    CPPUNIT_TEST(call_waits_for_permit_and_takes_it);
    CPPUNIT_TEST(retry_takes_a_permit_too);
    CPPUNIT_TEST(call_is_refused_at_once_if_no_permit_comes_in_time);
    CPPUNIT_TEST(calls_that_are_refused_together_return_at_different_times);
    CPPUNIT_TEST(call_is_not_refused_while_its_permit_may_come_in_time);
    CPPUNIT_TEST(adapter_on_limited_engine_counts_as_missing_without_permits_in_time);
    CPPUNIT_TEST(calls_behind_the_limit_of_the_only_holder_ask_for_their_adapter_elsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        dispatcher_ = std::make_unique<dispatcher>(topology("north", {{"north", "n"}}));
        permits_ = std::make_unique<send_permits>("node");
        dispatcher_->use_permits(*permits_);
        dispatcher_->configure(sample_configuration(4));
    }

    void call_goes_to_endpoint_without_limit() {
        add_limited("a");
        dispatcher_->update(plain("b"));
        for (std::uint64_t number = 1; number <= 4; ++number) {
            CPPUNIT_ASSERT_EQUAL(std::string("b"), submit(number).at(0).endpoint);
        }
        CPPUNIT_ASSERT(dispatcher_->permit_demand().empty());
    }

    void call_waits_for_permit_and_takes_it() {
        add_limited("a");
        CPPUNIT_ASSERT(submit(1).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher_->permit_demand().at("a"));
        grant("a", 1, short_interval);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), dispatcher_->pump(start).at(0).endpoint);
        CPPUNIT_ASSERT(!permits_->allows("a", start));
        CPPUNIT_ASSERT(dispatcher_->permit_demand().empty());
    }

    void retry_takes_a_permit_too() {
        add_limited("a");
        add_limited("b");
        grant("a", 1, short_interval);
        const auto first = submit(1).at(0).endpoint;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), first);
        dispatcher_->retry(1);
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        grant("b", 1, short_interval);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), dispatcher_->pump(start).at(0).endpoint);
    }

    void call_is_refused_at_once_if_no_permit_comes_in_time() {
        add_limited("a");
        grant("a", 0, long_interval);
        const auto decisions = submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions.at(0).endpoint.empty());
        CPPUNIT_ASSERT(decisions.at(0).reason == refusal::limited);
        CPPUNIT_ASSERT(decisions.at(0).retry_after >= long_interval);
    }

    void calls_that_are_refused_together_return_at_different_times() {
        add_limited("a");
        grant("a", 0, long_interval);
        std::set<milliseconds> returns;
        constexpr std::uint64_t calls = 8;
        for (std::uint64_t number = 1; number <= calls; ++number) {
            returns.insert(submit(number).at(0).retry_after);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{calls}, returns.size());
        CPPUNIT_ASSERT(*returns.rbegin() - *returns.begin() >= long_interval / 2);
    }

    /// The second call waits behind the first one: its permit comes after its deadline.
    void call_is_not_refused_while_its_permit_may_come_in_time() {
        add_limited("a");
        grant("a", 0, milliseconds{300});
        CPPUNIT_ASSERT(submit(1).empty());
        const auto second = submit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second.at(0).reason == refusal::limited);
    }

    void adapter_on_limited_engine_counts_as_missing_without_permits_in_time() {
        auto holder = engine("a");
        holder.models = {{"base", 1, {{"rare", 1}}}};
        dispatcher_->update(holder);
        dispatcher_->update(engine("b"));
        permits_->set_limit("a", limit_per_s);
        grant("a", 0, long_interval);
        auto call = plain_call(1);
        call.service = "assistant";
        call.model = {"base", "rare"};
        dispatcher_->submit(call);
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher_->take_demand().size());
    }

    /// Permits for two of the five calls come in time, so the others' adapter has to be loaded on
    /// the engine without a limit.
    void calls_behind_the_limit_of_the_only_holder_ask_for_their_adapter_elsewhere() {
        auto holder = engine("a");
        holder.models = {{"base", 1, {{"rare", 1}}}};
        dispatcher_->update(holder);
        dispatcher_->update(engine("b"));
        permits_->set_limit("a", limit_per_s);
        grant("a", 0, short_interval);
        for (std::uint64_t number = 1; number <= 5; ++number) {
            auto call = plain_call(number);
            call.service = "assistant";
            call.model = {"base", "rare"};
            dispatcher_->submit(call);
        }
        CPPUNIT_ASSERT(dispatcher_->pump(start).empty());
        CPPUNIT_ASSERT(dispatcher_->take_new_demand());
        const auto demand = dispatcher_->take_demand();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demand.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, demand.at(0).waiting);
    }

private:
    static endpoint_record plain(const std::string& id) {
        return sample_endpoint(id, "register", 4);
    }
    static pending_call plain_call(std::uint64_t number) {
        return sample_call(number, "register", start, milliseconds{500});
    }
    void add_limited(const std::string& id) {
        dispatcher_->update(plain(id));
        permits_->set_limit(id, limit_per_s);
    }
    std::vector<dispatch_decision> submit(std::uint64_t number) {
        dispatcher_->submit(plain_call(number));
        return dispatcher_->pump(start);
    }
    void grant(const std::string& id, std::size_t count, milliseconds interval) {
        permits_->on_answer(id, count, start, interval, interval, start);
        dispatcher_->on_permits_changed();
    }

    std::unique_ptr<send_permits> permits_;
    std::unique_ptr<dispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_endpoint_test);

/// Orders to engines that name a rate limit.
class limited_engine_test : public adapter_planner_fixture {
    CPPUNIT_TEST_SUITE(limited_engine_test);
    CPPUNIT_TEST(adapter_is_loaded_on_engine_without_limit);
    CPPUNIT_TEST(adapter_of_limited_engine_is_loaded_elsewhere);
    CPPUNIT_TEST(orders_and_checks_take_at_most_half_of_the_limit);
    CPPUNIT_TEST(orders_are_no_longer_delayed_after_the_limit_has_ended);
    CPPUNIT_TEST_SUITE_END();

public:
    void adapter_is_loaded_on_engine_without_limit() {
        planner->update(engine("b"));
        planner->set_limit("a", limit_per_s);
        for (const auto* adapter : {"one", "two", "three"}) {
            planner->on_demand(waiting_for(adapter), now);
            for (const auto& order : planner->plan(now)) {
                CPPUNIT_ASSERT_EQUAL(std::string("b"), order.endpoint);
                planner->on_outcome(order, order_outcome::accepted, now);
            }
        }
    }

    void adapter_of_limited_engine_is_loaded_elsewhere() {
        load("one");
        planner->update(engine("b"));
        planner->set_limit("a", limit_per_s);
        planner->on_demand(waiting_for("one"), now);
        const auto orders = planner->plan(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), orders.at(0).endpoint);
    }

    /// All engines are limited, so the adapter is loaded there. The load takes 2 s, and the engine
    /// is asked every 20 ms without a limit.
    void orders_and_checks_take_at_most_half_of_the_limit() {
        planner->set_limit("a", limit_per_s);
        std::size_t sent = 0;
        constexpr seconds measured{10};
        for (const auto end = now + measured; now < end; now += milliseconds{10}) {
            planner->on_demand(waiting_for("one"), now);
            planner->on_demand(waiting_for("two"), now);
            for (const auto& order : planner->plan(now)) {
                ++sent;
                planner->on_outcome(order, order_outcome::accepted, now);
            }
        }
        CPPUNIT_ASSERT(sent >= 2);
        CPPUNIT_ASSERT(static_cast<double>(sent) <=
                       0.5 * limit_per_s * static_cast<double>(measured.count()) + 1);
    }

    void orders_are_no_longer_delayed_after_the_limit_has_ended() {
        planner->set_limit("a", limit_per_s);
        planner->on_demand(waiting_for("one"), now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::accepted, now);
        now += milliseconds{300};
        CPPUNIT_ASSERT(planner->plan(now).empty());
        planner->set_limit("a", std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner->plan(now).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limited_engine_test);

} // namespace
