#include "adapter_planner_fixture.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;

/// An engine that leaves every third order unanswered and executes it seconds later, unless it has
/// accepted another order meanwhile.
class unresponsive_engine {
public:
    static constexpr std::size_t slots = 3;
    static constexpr milliseconds load_time{290};
    static constexpr milliseconds execution_delay{3'000};
    static constexpr std::size_t unanswered_one_in = 3;

    void take(const planned_order& order, support::time_point now) {
        if (order.kind != order_kind::report && ++orders_ % unanswered_one_in == 0) {
            late_orders_.emplace_back(now + execution_delay, order);
            answers_.emplace_back(now + adapter_planner::answer_time, order);
            unanswered_ = true;
            return;
        }
        unanswered_ = false;
        answers_.emplace_back(now, order);
    }

    /// Executes the due orders and delivers the due answers to the planner.
    void run(adapter_planner& planner, support::time_point now) {
        for (const auto& [due, order] : take_due(late_orders_, now)) {
            execute(order, now);
        }
        for (const auto& [due, order] : take_due(answers_, now)) {
            if (order.kind == order_kind::report) {
                planner.on_report(order.endpoint, report(now), now);
            } else if (std::exchange(unanswered_, false)) {
                planner.on_outcome(order, order_outcome::unknown, now);
            } else {
                planner.on_outcome(order, execute(order, now), now);
            }
        }
        CPPUNIT_ASSERT(adapters_.size() <= slots);
    }

private:
    using timed_orders = std::vector<std::pair<support::time_point, planned_order>>;

    static timed_orders take_due(timed_orders& orders, support::time_point now) {
        const auto first = std::ranges::stable_partition(orders, [now](const auto& timed) {
                               return timed.first > now;
                           }).begin();
        timed_orders due(first, orders.end());
        orders.erase(first, orders.end());
        return due;
    }

    order_outcome execute(const planned_order& order, support::time_point now) {
        const auto& adapter = order.model.adapter;
        const auto entry = adapters_.find(adapter);
        if (order.check || (order.kind == order_kind::load && entry != adapters_.end())) {
            return entry == adapters_.end() ? order_outcome::conflict
                   : entry->second <= now   ? order_outcome::in_effect
                                            : order_outcome::accepted;
        }
        if (order.orders_accepted != accepted_) {
            return order_outcome::conflict;
        }
        ++accepted_;
        if (order.kind == order_kind::load) {
            adapters_[adapter] = now + load_time;
            return order_outcome::accepted;
        }
        adapters_.erase(adapter);
        return order_outcome::in_effect;
    }

    [[nodiscard]] engine_report report(support::time_point now) const {
        engine_report result;
        result.started_ms = 1;
        result.orders_accepted = accepted_;
        result.models = {{"base", 1, {}}};
        for (const auto& [adapter, ready_at] : adapters_) {
            if (ready_at <= now) {
                result.models.front().adapters.push_back({adapter, 1});
            } else {
                result.pending.push_back("base/" + adapter + "@1");
            }
        }
        return result;
    }

    std::size_t orders_ = 0;
    std::uint64_t accepted_ = 0;
    bool unanswered_ = false; ///< The order in flight gets no answer.
    std::map<std::string, support::time_point> adapters_;
    timed_orders late_orders_;
    timed_orders answers_;
};

/// Orders and checks that engines leave unanswered.
class unanswered_orders_test : public adapter_planner_fixture {
    CPPUNIT_TEST_SUITE(unanswered_orders_test);
    CPPUNIT_TEST(repeatedly_unanswered_order_requests_a_report);
    CPPUNIT_TEST(unanswered_orders_do_not_starve_adapters);
    CPPUNIT_TEST(repeat_of_an_unanswered_order_expects_the_same_count);
    CPPUNIT_TEST(conflict_after_an_unanswered_order_shows_that_it_was_executed);
    CPPUNIT_TEST(load_found_in_a_report_does_not_delay_checks_of_later_loads);
    CPPUNIT_TEST(load_with_unobserved_end_does_not_block_other_loads);
    CPPUNIT_TEST(loads_with_late_observed_ends_do_not_shrink_the_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedly_unanswered_order_requests_a_report() {
        planner->on_demand(waiting_for("x"), now);
        for (int attempt = 0; attempt < 5; ++attempt) {
            const auto order = planner->plan(now).at(0);
            CPPUNIT_ASSERT(order.kind == order_kind::load);
            planner->on_outcome(order, order_outcome::unknown, now);
        }
        now += milliseconds{1'000};
        CPPUNIT_ASSERT(planner->plan(now).at(0).kind == order_kind::report);
        engine_report report;
        report.started_ms = 1;
        report.orders_accepted = 1;
        report.models = {{"base", 1, {}}};
        report.pending = {"base/x@1"};
        planner->on_report("a", report, now);
        CPPUNIT_ASSERT(last_state("x") == residency::absent);
        now += milliseconds{300};
        const auto check = planner->plan(now).at(0);
        CPPUNIT_ASSERT(check.check);
        planner->on_outcome(check, order_outcome::in_effect, now);
        CPPUNIT_ASSERT(last_state("x") == residency::ready);
    }

    /// Replays engines that leave every third order unanswered and execute it seconds later, with
    /// forty rare adapters on 24 slots that are each requested every two seconds. Guards against an
    /// unanswered order that blocks all others to its engine for most of a second: loads fell to a
    /// fifth, and adapters that were requested all day were never served.
    void unanswered_orders_do_not_starve_adapters() {
        constexpr milliseconds step{10};
        constexpr milliseconds call_wait{600};
        constexpr std::size_t adapters = 40;
        constexpr std::chrono::seconds period{2};
        std::map<std::string, unresponsive_engine> engines;
        for (const auto* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            planner->update(engine(name));
        }
        std::set<std::size_t> ready;
        std::set<std::pair<std::size_t, std::size_t>> requested;
        std::set<std::pair<std::size_t, std::size_t>> served;
        for (; now < start + std::chrono::seconds{12}; now += step) {
            for (std::size_t number = 0; number < adapters; ++number) {
                const auto elapsed = now - start + period * number / adapters;
                const std::pair call(number, static_cast<std::size_t>(elapsed / period));
                if (elapsed % period >= call_wait || served.contains(call)) {
                    continue;
                }
                requested.insert(call);
                if (ready.contains(number)) {
                    served.insert(call);
                    planner->on_used({"base", std::to_string(number)}, now);
                } else {
                    planner->on_demand(waiting_for(std::to_string(number)), now);
                }
            }
            // Answers take no time, so an engine is sent several orders in one step.
            for (bool ordered = true; ordered;) {
                const auto orders = planner->plan(now);
                ordered = !orders.empty();
                for (const auto& order : orders) {
                    engines[order.endpoint].take(order, now);
                }
                for (auto& [name, simulated] : engines) {
                    simulated.run(*planner, now);
                }
            }
            for (const auto& change : planner->take_changes()) {
                if (change.model.adapter.empty()) {
                    continue;
                }
                const auto number = std::stoul(change.model.adapter);
                if (change.state == residency::ready) {
                    ready.insert(number);
                } else {
                    ready.erase(number);
                }
            }
        }
        // At most 60 in 100 may be refused.
        CPPUNIT_ASSERT(served.size() * 10 >= requested.size() * 4);
    }

    /// The late first copy of a repeated order meets another count and is rejected, so the
    /// planner's count stays correct.
    void repeat_of_an_unanswered_order_expects_the_same_count() {
        planner->on_demand(waiting_for("x"), now);
        const auto first = planner->plan(now).at(0);
        planner->on_outcome(first, order_outcome::unknown, now);
        const auto again = planner->plan(now).at(0);
        CPPUNIT_ASSERT(again.kind == order_kind::load);
        CPPUNIT_ASSERT(again.model == first.model);
        CPPUNIT_ASSERT_EQUAL(first.orders_accepted, again.orders_accepted);
    }

    /// Replays a link that loses packets, where the answer arrives after the repeat was sent.
    void conflict_after_an_unanswered_order_shows_that_it_was_executed() {
        planner->on_demand(waiting_for("x"), now);
        const auto order = planner->plan(now).at(0);
        planner->on_outcome(order, order_outcome::unknown, now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::conflict, now);
        now += milliseconds{300};
        const auto check = planner->plan(now).at(0);
        CPPUNIT_ASSERT(check.check);
        CPPUNIT_ASSERT_EQUAL(order.orders_accepted + 1, check.orders_accepted);
        planner->on_outcome(check, order_outcome::in_effect, now);
        CPPUNIT_ASSERT(last_state("x") == residency::ready);
    }

    /// Guards against a data centre whose adapters stay loading forever: a load that was known only
    /// from a report was measured from the epoch of the clock, and all later loads were then
    /// expected to take hours.
    void load_found_in_a_report_does_not_delay_checks_of_later_loads() {
        repeatedly_unanswered_order_requests_a_report();
        planner->on_demand(waiting_for("y"), now);
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), order.model.adapter);
        planner->on_outcome(order, order_outcome::accepted, now);
        now += milliseconds{300};
        CPPUNIT_ASSERT(planner->plan(now).at(0).check);
    }

    /// Guards against a store that counts as busy while the checks of completed loads are
    /// unanswered.
    void load_with_unobserved_end_does_not_block_other_loads() {
        planner->on_demand(waiting_for("x"), now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::accepted, now);
        now += milliseconds{600};
        planner->on_outcome(planner->plan(now).at(0), order_outcome::unknown, now);
        planner->on_demand(waiting_for("y"), now);
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), order.model.adapter);
    }

    /// Replays three loads whose checks are unanswered, followed by demand for two adapters at
    /// once.
    void loads_with_late_observed_ends_do_not_shrink_the_window() {
        for (const auto* name : {"x", "y", "z"}) {
            load(name);
        }
        for (const auto* name : {"s", "v", "w"}) {
            now += std::chrono::seconds{1};
            planner->on_demand(waiting_for(name), now);
            planner->on_outcome(planner->plan(now).at(0), order_outcome::in_effect, now);
            planner->on_outcome(planner->plan(now).at(0), order_outcome::accepted, now);
            now += milliseconds{600};
            planner->on_outcome(planner->plan(now).at(0), order_outcome::unknown, now);
            now += milliseconds{600};
            planner->on_outcome(planner->plan(now).at(0), order_outcome::in_effect, now);
        }
        now += std::chrono::seconds{1};
        std::set<std::string> loaded;
        for (int step = 0; step < 4; ++step) {
            planner->on_demand(waiting_for("t"), now);
            planner->on_demand(waiting_for("u"), now);
            for (const auto& order : planner->plan(now)) {
                const bool loads = order.kind == order_kind::load;
                loaded.insert(loads ? order.model.adapter : "");
                planner->on_outcome(
                    order, loads ? order_outcome::accepted : order_outcome::in_effect, now);
            }
        }
        CPPUNIT_ASSERT(loaded.contains("t") && loaded.contains("u"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unanswered_orders_test);

} // namespace
