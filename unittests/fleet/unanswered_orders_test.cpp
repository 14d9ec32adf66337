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

/// An engine that leaves each third order unanswered, and carries it out seconds later unless it
/// has accepted another one meanwhile.
class unanswering_engine {
public:
    static constexpr std::size_t places = 3;
    static constexpr milliseconds load_time{290};
    static constexpr milliseconds lateness{3'000};
    static constexpr std::size_t unanswered_one_in = 3;

    void take(const planned_order& order, support::time_point now) {
        if (order.kind != order_kind::report && ++orders_ % unanswered_one_in == 0) {
            late_.emplace_back(now + lateness, order);
            answers_.emplace_back(now + adapter_planner::answer_time, order);
            lost_ = true;
            return;
        }
        lost_ = false;
        answers_.emplace_back(now, order);
    }

    /// Carries out what is due and tells the planner.
    void run(adapter_planner& planner, support::time_point now) {
        for (const auto& [due, order] : due_of(late_, now)) {
            carry_out(order, now);
        }
        for (const auto& [due, order] : due_of(answers_, now)) {
            if (order.kind == order_kind::report) {
                planner.on_report(order.endpoint, report(now), now);
            } else if (std::exchange(lost_, false)) {
                planner.on_outcome(order, order_outcome::unknown, now);
            } else {
                planner.on_outcome(order, carry_out(order, now), now);
            }
        }
        CPPUNIT_ASSERT(held_.size() <= places);
    }

private:
    using timed_orders = std::vector<std::pair<support::time_point, planned_order>>;

    static timed_orders due_of(timed_orders& orders, support::time_point now) {
        const auto first = std::ranges::stable_partition(orders, [now](const auto& item) {
                               return item.first > now;
                           }).begin();
        timed_orders due(first, orders.end());
        orders.erase(first, orders.end());
        return due;
    }

    order_outcome carry_out(const planned_order& order, support::time_point now) {
        const auto& adapter = order.model.adapter;
        const auto held = held_.find(adapter);
        if (order.check || (order.kind == order_kind::load && held != held_.end())) {
            return held == held_.end()   ? order_outcome::conflict
                   : held->second <= now ? order_outcome::in_effect
                                         : order_outcome::accepted;
        }
        if (order.orders_accepted != accepted_) {
            return order_outcome::conflict;
        }
        ++accepted_;
        if (order.kind == order_kind::load) {
            held_[adapter] = now + load_time;
            return order_outcome::accepted;
        }
        held_.erase(adapter);
        return order_outcome::in_effect;
    }

    [[nodiscard]] engine_report report(support::time_point now) const {
        engine_report out;
        out.started_ms = 1;
        out.orders_accepted = accepted_;
        out.models = {{"base", 1, {}}};
        for (const auto& [adapter, ready_at] : held_) {
            if (ready_at <= now) {
                out.models.front().adapters.push_back({adapter, 1});
            } else {
                out.pending.push_back("base/" + adapter + "@1");
            }
        }
        return out;
    }

    std::size_t orders_ = 0;
    std::uint64_t accepted_ = 0;
    bool lost_ = false; ///< The order under way gets no answer.
    std::map<std::string, support::time_point> held_;
    timed_orders late_;
    timed_orders answers_;
};

/// Orders and looks that engines leave unanswered.
class unanswered_orders_test : public adapter_planner_fixture {
    CPPUNIT_TEST_SUITE(unanswered_orders_test);
    CPPUNIT_TEST(order_that_stays_without_an_answer_asks_for_a_report);
    CPPUNIT_TEST(unanswered_orders_do_not_starve_adapters);
    CPPUNIT_TEST(repeat_of_an_unanswered_order_expects_the_same_count);
    CPPUNIT_TEST(conflict_after_an_unanswered_order_shows_that_it_was_carried_out);
    CPPUNIT_TEST(load_found_in_a_report_leaves_the_next_loads_looked_at_in_time);
    CPPUNIT_TEST(load_whose_end_is_not_seen_holds_no_other_back_for_long);
    CPPUNIT_TEST(loads_whose_ends_are_seen_late_do_not_narrow_the_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void order_that_stays_without_an_answer_asks_for_a_report() {
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

    /// Replays engines that leave each third order unanswered and would carry it out seconds later,
    /// before forty rare adapters on 24 places that are each asked for every two seconds. Each
    /// such order kept its engine from all others for most of a second, so that loads fell to a
    /// fifth and adapters that were asked for all day were never served.
    void unanswered_orders_do_not_starve_adapters() {
        constexpr milliseconds step{10};
        constexpr milliseconds call_wait{600};
        constexpr std::size_t adapters = 40;
        constexpr std::chrono::seconds period{2};
        std::map<std::string, unanswering_engine> engines;
        for (const auto* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            planner->update(engine(name));
        }
        std::set<std::size_t> ready;
        std::set<std::pair<std::size_t, std::size_t>> asked;
        std::set<std::pair<std::size_t, std::size_t>> served;
        for (; now < start + std::chrono::seconds{12}; now += step) {
            for (std::size_t number = 0; number < adapters; ++number) {
                const auto elapsed = now - start + period * number / adapters;
                const std::pair call(number, static_cast<std::size_t>(elapsed / period));
                if (elapsed % period >= call_wait || served.contains(call)) {
                    continue;
                }
                asked.insert(call);
                if (ready.contains(number)) {
                    served.insert(call);
                    planner->on_used({"base", std::to_string(number)}, now);
                } else {
                    planner->on_demand(waiting_for(std::to_string(number)), now);
                }
            }
            // Answers take no time, so that an engine is given several orders in one step.
            for (bool ordered = true; ordered;) {
                const auto orders = planner->plan(now);
                ordered = !orders.empty();
                for (const auto& order : orders) {
                    engines[order.endpoint].take(order, now);
                }
                for (auto& [name, item] : engines) {
                    item.run(*planner, now);
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
        CPPUNIT_ASSERT(served.size() * 10 >= asked.size() * 4);
    }

    /// A late copy of an order that was given again finds another count and is refused, so the
    /// count that the planner goes on with is right.
    void repeat_of_an_unanswered_order_expects_the_same_count() {
        planner->on_demand(waiting_for("x"), now);
        const auto first = planner->plan(now).at(0);
        planner->on_outcome(first, order_outcome::unknown, now);
        const auto again = planner->plan(now).at(0);
        CPPUNIT_ASSERT(again.kind == order_kind::load);
        CPPUNIT_ASSERT(again.model == first.model);
        CPPUNIT_ASSERT_EQUAL(first.orders_accepted, again.orders_accepted);
    }

    /// As on links that lose packets, where answers come later than the repeat.
    void conflict_after_an_unanswered_order_shows_that_it_was_carried_out() {
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

    /// Guards against a data centre whose adapters stay on their way for good: a load of which only
    /// a report told was taken for one that had lasted since the clock began, and all later loads
    /// were expected to last hours.
    void load_found_in_a_report_leaves_the_next_loads_looked_at_in_time() {
        order_that_stays_without_an_answer_asks_for_a_report();
        planner->on_demand(waiting_for("y"), now);
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), order.model.adapter);
        planner->on_outcome(order, order_outcome::accepted, now);
        now += milliseconds{300};
        CPPUNIT_ASSERT(planner->plan(now).at(0).check);
    }

    /// Guards against a store that counts as busy while looks at loads that have ended go
    /// unanswered.
    void load_whose_end_is_not_seen_holds_no_other_back_for_long() {
        planner->on_demand(waiting_for("x"), now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::accepted, now);
        now += milliseconds{600};
        planner->on_outcome(planner->plan(now).at(0), order_outcome::unknown, now);
        planner->on_demand(waiting_for("y"), now);
        const auto order = planner->plan(now).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), order.model.adapter);
    }

    /// Replays three loads whose looks go unanswered, then two adapters at once.
    void loads_whose_ends_are_seen_late_do_not_narrow_the_window() {
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
