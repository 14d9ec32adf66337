#include "dragonflystair/fleet/adapter_planner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr support::time_point start{std::chrono::hours{1}};

endpoint_record engine(const std::string& id) {
    endpoint_record record;
    record.id = id;
    record.service = "assistant";
    record.address = "10.0.0.1:80";
    record.data_centre = "north";
    record.slots = 4;
    record.started_ms = 1;
    record.models = {{"base", 1, {}}};
    return record;
}

adapter_demand waiting_for(const std::string& adapter) {
    return {{"base", adapter}, "north", 1, 0, 0, {}};
}

/// Calls for the adapter were refused and told to come back.
adapter_demand refused_for(const std::string& adapter, milliseconds returns_after) {
    return {{"base", adapter}, "north", 0, 0, 0, returns_after};
}

/// An engine that leaves each third order unanswered, and carries it out seconds later unless it
/// has accepted another one meanwhile.
class unanswering_engine {
public:
    static constexpr std::size_t places = 3;
    static constexpr milliseconds load_time{290};
    static constexpr milliseconds lateness{3'000};
    static constexpr std::size_t unanswered_one_in = 3;

    void take(const planned_order& order, support::time_point now) {
        if (order.kind != planned_kind::report && ++orders_ % unanswered_one_in == 0) {
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
            if (order.kind == planned_kind::report) {
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
        const auto& adapter = order.what.adapter;
        const auto held = held_.find(adapter);
        if (order.check || (order.kind == planned_kind::load && held != held_.end())) {
            return held == held_.end()   ? order_outcome::conflict
                   : held->second <= now ? order_outcome::holds
                                         : order_outcome::accepted;
        }
        if (order.orders_accepted != accepted_) {
            return order_outcome::conflict;
        }
        ++accepted_;
        if (order.kind == planned_kind::load) {
            held_[adapter] = now + load_time;
            return order_outcome::accepted;
        }
        held_.erase(adapter);
        return order_outcome::holds;
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

/// Which adapters engines hold, and the orders for it.
class adapter_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(adapter_planner_test);
    CPPUNIT_TEST(waiting_calls_get_one_load);
    CPPUNIT_TEST(adapter_is_ready_when_the_repeated_order_holds);
    CPPUNIT_TEST(full_engine_drops_the_adapter_that_nothing_uses);
    CPPUNIT_TEST(engine_whose_adapters_are_all_in_use_drops_none);
    CPPUNIT_TEST(adapter_without_use_in_a_whole_report_period_makes_room);
    CPPUNIT_TEST(busy_engine_that_had_the_adapter_is_waited_for_a_moment);
    CPPUNIT_TEST(new_holder_knows_which_engine_had_an_adapter);
    CPPUNIT_TEST(burst_of_rare_adapters_never_exceeds_the_places);
    CPPUNIT_TEST(engine_that_restarts_empty_loads_its_model_first);
    CPPUNIT_TEST(one_refused_order_does_not_bring_a_stale_report);
    CPPUNIT_TEST(adapter_whose_unload_is_refused_stays_ready);
    CPPUNIT_TEST(lasting_conflict_asks_for_a_report);
    CPPUNIT_TEST(new_holder_asks_for_a_report_before_its_first_order);
    CPPUNIT_TEST(order_that_stays_without_an_answer_asks_for_a_report);
    CPPUNIT_TEST(unanswered_orders_do_not_starve_adapters);
    CPPUNIT_TEST(repeat_of_an_unanswered_order_expects_the_same_count);
    CPPUNIT_TEST(conflict_after_an_unanswered_order_shows_that_it_was_carried_out);
    CPPUNIT_TEST(load_found_in_a_report_leaves_the_next_loads_looked_at_in_time);
    CPPUNIT_TEST(new_version_replaces_the_busy_adapter_and_drops_the_idle_one);
    CPPUNIT_TEST(few_diverted_calls_bring_no_copy);
    CPPUNIT_TEST(many_diverted_calls_bring_a_copy);
    CPPUNIT_TEST(adapter_stays_until_the_calls_that_were_refused_for_it_are_back);
    CPPUNIT_TEST(demand_that_no_order_met_is_told_with_its_reason);
    CPPUNIT_TEST(load_whose_end_is_not_seen_holds_no_other_back_for_long);
    CPPUNIT_TEST(loads_whose_ends_are_seen_late_do_not_narrow_the_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        planner_ = std::make_unique<adapter_planner>();
        configuration current;
        service assistant;
        assistant.name = "assistant";
        assistant.has_engines = true;
        assistant.engines.batch_slots = 4;
        assistant.engines.weights_mb = 100;
        assistant.engines.adapter_slots = 3;
        assistant.engines.models = {{"base", 50, 1, milliseconds{600}}};
        current.services = {{"assistant", assistant}};
        planner_->configure(current);
        planner_->update(engine("a"));
        now_ = start;
    }

    void waiting_calls_get_one_load() {
        planner_->on_demand(waiting_for("x"), now_);
        const auto orders = planner_->plan(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(orders.front().kind == planned_kind::load);
        planner_->on_demand(waiting_for("x"), now_);
        CPPUNIT_ASSERT(planner_->plan(now_).empty());
    }

    void adapter_is_ready_when_the_repeated_order_holds() {
        load("x");
        CPPUNIT_ASSERT(last_state("x") == residency::ready);
    }

    void full_engine_drops_the_adapter_that_nothing_uses() {
        load("x");
        load("y");
        load("z");
        now_ += milliseconds{2'000};
        planner_->on_used({"base", "x"}, now_);
        planner_->on_used({"base", "z"}, now_);
        planner_->on_demand(waiting_for("w"), now_);
        const auto orders = planner_->plan(now_);
        CPPUNIT_ASSERT(orders.at(0).kind == planned_kind::unload);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), orders.at(0).what.adapter);
        CPPUNIT_ASSERT(last_state("y") == residency::absent);
    }

    /// Guards against the eviction of an adapter that serves a call.
    void engine_whose_adapters_are_all_in_use_drops_none() {
        load("x");
        load("y");
        load("z");
        for (const auto* name : {"x", "y", "z"}) {
            planner_->on_used({"base", name}, now_);
        }
        planner_->on_demand(waiting_for("w"), now_);
        CPPUNIT_ASSERT(planner_->plan(now_).empty());
    }

    /// Guards against places that idle adapters keep while calls for others give up: nodes report
    /// use each 200 ms, so 300 ms without a report show that no call uses one.
    void adapter_without_use_in_a_whole_report_period_makes_room() {
        load("x");
        load("y");
        load("z");
        for (const auto* name : {"x", "y", "z"}) {
            planner_->on_used({"base", name}, now_);
        }
        now_ += milliseconds{250};
        planner_->on_demand(waiting_for("w"), now_);
        CPPUNIT_ASSERT(planner_->plan(now_).empty());
        now_ += milliseconds{50};
        planner_->on_demand(waiting_for("w"), now_);
        CPPUNIT_ASSERT(planner_->plan(now_).at(0).kind == planned_kind::unload);
    }

    /// Guards against adapters that move from engine to engine: half of the loads of a day with
    /// shifts of demand fetched from the store what another engine would have loaded in a tenth of
    /// the time a few milliseconds later.
    void busy_engine_that_had_the_adapter_is_waited_for_a_moment() {
        planner_->note_held("a", {"base", "x"});
        planner_->on_demand(waiting_for("y"), now_);
        planner_->plan(now_); // The order for y is under way to engine a.
        auto other = engine("b");
        other.address = "10.0.0.2:80";
        planner_->update(other);
        planner_->on_demand(waiting_for("x"), now_);
        CPPUNIT_ASSERT(planner_->plan(now_).empty());
        now_ += milliseconds{100};
        planner_->on_demand(waiting_for("x"), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), planner_->plan(now_).at(0).endpoint);
    }

    void new_holder_knows_which_engine_had_an_adapter() {
        for (const auto* name : {"b", "c", "d", "e"}) {
            planner_->update(engine(name));
        }
        planner_->note_held("d", {"base", "x"});
        planner_->on_demand(waiting_for("x"), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), planner_->plan(now_).at(0).endpoint);
    }

    /// Replays forty rare adapters on three places, each asked for once in two seconds by a call
    /// that waits for half a second. Engines that are ordered to hold more than their places crash,
    /// and by order of name the first adapters were loaded again and again while the others
    /// starved.
    void burst_of_rare_adapters_never_exceeds_the_places() {
        std::set<std::string> held;
        std::set<std::string> served;
        for (int step = 0; step < 800; ++step) {
            now_ += milliseconds{50};
            for (int rare = 0; rare < 40; ++rare) {
                if ((step + rare) % 40 < 10) {
                    planner_->on_demand(waiting_for("rare" + std::to_string(rare)), now_);
                }
            }
            for (const auto& order : planner_->plan(now_)) {
                if (order.kind == planned_kind::unload) {
                    held.erase(order.what.adapter);
                    planner_->on_outcome(order, order_outcome::holds, now_);
                    continue;
                }
                held.insert(order.what.adapter);
                planner_->on_outcome(
                    order, order.check ? order_outcome::holds : order_outcome::accepted, now_);
                if (order.check) {
                    served.insert(order.what.adapter);
                }
            }
            CPPUNIT_ASSERT(held.size() <= 3);
        }
        // At most 1 + 10 in 100 may starve.
        CPPUNIT_ASSERT(served.size() >= 35);
    }

    void engine_that_restarts_empty_loads_its_model_first() {
        load("x");
        auto again = engine("a");
        again.started_ms = 2;
        again.models.clear();
        planner_->update(again);
        planner_->on_demand(waiting_for("x"), now_);
        const auto orders = planner_->plan(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT_EQUAL(model_name({"base", ""}).model, orders.front().what.model);
        CPPUNIT_ASSERT(orders.front().what.adapter.empty());
    }

    /// Guards against the loss of all later orders: a report is some hundred milliseconds old, and
    /// a planner that took its count of orders was refused from then on.
    void one_refused_order_does_not_bring_a_stale_report() {
        planner_->on_demand(waiting_for("x"), now_);
        planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::conflict, now_);
        now_ += milliseconds{60};
        planner_->on_demand(waiting_for("x"), now_);
        const auto orders = planner_->plan(now_);
        CPPUNIT_ASSERT(orders.at(0).kind == planned_kind::load);
    }

    /// Guards against nodes that no longer use an adapter which the engine still holds.
    void adapter_whose_unload_is_refused_stays_ready() {
        load("x");
        load("y");
        load("z");
        now_ += milliseconds{2'000};
        planner_->on_demand(waiting_for("w"), now_);
        const auto order = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT(order.kind == planned_kind::unload);
        CPPUNIT_ASSERT(last_state(order.what.adapter) == residency::absent);
        planner_->on_outcome(order, order_outcome::conflict, now_);
        CPPUNIT_ASSERT(last_state(order.what.adapter) == residency::ready);
    }

    void lasting_conflict_asks_for_a_report() {
        bool asked = false;
        for (int step = 0; step < 40 && !asked; ++step) {
            now_ += milliseconds{50};
            planner_->on_demand(waiting_for("x"), now_);
            for (const auto& order : planner_->plan(now_)) {
                asked = asked || order.kind == planned_kind::report;
                planner_->on_outcome(order, order_outcome::conflict, now_);
            }
        }
        CPPUNIT_ASSERT(asked);
    }

    /// Such an order may be carried out seconds later.
    /// Guards against a new holder whose first orders an engine refuses: records are not renewed
    /// when adapters change, so this one still shows the engine as it began.
    void new_holder_asks_for_a_report_before_its_first_order() {
        planner_->on_demand(waiting_for("x"), now_);
        planner_->begin_term();
        const auto order = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT(order.kind == planned_kind::report);
        engine_report report;
        report.started_ms = 1;
        report.orders_accepted = 12;
        report.models = {{"base", 1, {{"y", 1}}}};
        planner_->on_report("a", report, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, planner_->plan(now_).at(0).orders_accepted);
    }

    void order_that_stays_without_an_answer_asks_for_a_report() {
        planner_->on_demand(waiting_for("x"), now_);
        for (int attempt = 0; attempt < 5; ++attempt) {
            const auto order = planner_->plan(now_).at(0);
            CPPUNIT_ASSERT(order.kind == planned_kind::load);
            planner_->on_outcome(order, order_outcome::unknown, now_);
        }
        now_ += milliseconds{1'000};
        CPPUNIT_ASSERT(planner_->plan(now_).at(0).kind == planned_kind::report);
        engine_report report;
        report.started_ms = 1;
        report.orders_accepted = 1;
        report.models = {{"base", 1, {}}};
        report.pending = {"base/x@1"};
        planner_->on_report("a", report, now_);
        CPPUNIT_ASSERT(last_state("x") == residency::absent);
        now_ += milliseconds{300};
        const auto check = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT(check.check);
        planner_->on_outcome(check, order_outcome::holds, now_);
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
            planner_->update(engine(name));
        }
        std::set<std::size_t> ready;
        std::set<std::pair<std::size_t, std::size_t>> asked;
        std::set<std::pair<std::size_t, std::size_t>> served;
        for (; now_ < start + std::chrono::seconds{12}; now_ += step) {
            for (std::size_t number = 0; number < adapters; ++number) {
                const auto elapsed = now_ - start + period * number / adapters;
                const std::pair call(number, static_cast<std::size_t>(elapsed / period));
                if (elapsed % period >= call_wait || served.contains(call)) {
                    continue;
                }
                asked.insert(call);
                if (ready.contains(number)) {
                    served.insert(call);
                    planner_->on_used({"base", std::to_string(number)}, now_);
                } else {
                    planner_->on_demand(waiting_for(std::to_string(number)), now_);
                }
            }
            // Answers take no time, so that an engine is given several orders in one step.
            for (bool ordered = true; ordered;) {
                const auto orders = planner_->plan(now_);
                ordered = !orders.empty();
                for (const auto& order : orders) {
                    engines[order.endpoint].take(order, now_);
                }
                for (auto& [name, item] : engines) {
                    item.run(*planner_, now_);
                }
            }
            for (const auto& change : planner_->take_changes()) {
                if (change.what.adapter.empty()) {
                    continue;
                }
                const auto number = std::stoul(change.what.adapter);
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
        planner_->on_demand(waiting_for("x"), now_);
        const auto first = planner_->plan(now_).at(0);
        planner_->on_outcome(first, order_outcome::unknown, now_);
        const auto again = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT(again.kind == planned_kind::load);
        CPPUNIT_ASSERT(again.what == first.what);
        CPPUNIT_ASSERT_EQUAL(first.orders_accepted, again.orders_accepted);
    }

    /// As on links that lose packets, where answers come later than the repeat.
    void conflict_after_an_unanswered_order_shows_that_it_was_carried_out() {
        planner_->on_demand(waiting_for("x"), now_);
        const auto order = planner_->plan(now_).at(0);
        planner_->on_outcome(order, order_outcome::unknown, now_);
        planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::conflict, now_);
        now_ += milliseconds{300};
        const auto check = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT(check.check);
        CPPUNIT_ASSERT_EQUAL(order.orders_accepted + 1, check.orders_accepted);
        planner_->on_outcome(check, order_outcome::holds, now_);
        CPPUNIT_ASSERT(last_state("x") == residency::ready);
    }

    /// Guards against a data centre whose adapters stay on their way for good: a load of which only
    /// a report told was taken for one that had lasted since the clock began, and all later loads
    /// were expected to last hours.
    void load_found_in_a_report_leaves_the_next_loads_looked_at_in_time() {
        order_that_stays_without_an_answer_asks_for_a_report();
        planner_->on_demand(waiting_for("y"), now_);
        const auto order = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), order.what.adapter);
        planner_->on_outcome(order, order_outcome::accepted, now_);
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(planner_->plan(now_).at(0).check);
    }

    void new_version_replaces_the_busy_adapter_and_drops_the_idle_one() {
        load("x");
        load("y");
        now_ += std::chrono::seconds{20};
        planner_->on_used({"base", "x"}, now_);
        planner_->require_version({"base", "x"}, 2);
        planner_->require_version({"base", "y"}, 2);
        std::set<std::string> seen;
        for (int step = 0; step < 2; ++step) {
            const auto order = planner_->plan(now_).at(0);
            seen.insert((order.kind == planned_kind::load ? "load " : "unload ") +
                        order.what.adapter);
            planner_->on_outcome(order, order_outcome::holds, now_);
        }
        CPPUNIT_ASSERT((seen == std::set<std::string>{"load x", "unload y"}));
    }

    void few_diverted_calls_bring_no_copy() {
        planner_->on_demand({{"base", "x"}, "north", 0, 2, 0}, now_);
        CPPUNIT_ASSERT(planner_->plan(now_).empty());
    }

    void many_diverted_calls_bring_a_copy() {
        for (int calls = 0; calls < 5; ++calls) {
            now_ += milliseconds{100};
            planner_->on_demand({{"base", "x"}, "north", 0, 2, 0}, now_);
        }
        CPPUNIT_ASSERT(planner_->plan(now_).at(0).kind == planned_kind::load);
    }

    /// Guards against loads in vain: an adapter that came too late for its calls was dropped a few
    /// milliseconds before they were back, and they were refused again.
    void adapter_stays_until_the_calls_that_were_refused_for_it_are_back() {
        load("x");
        load("y");
        load("z");
        planner_->on_used({"base", "y"}, now_);
        planner_->on_used({"base", "z"}, now_);
        planner_->on_demand(refused_for("x", milliseconds{400}), now_);
        now_ += milliseconds{400};
        planner_->on_used({"base", "y"}, now_);
        planner_->on_used({"base", "z"}, now_);
        planner_->on_demand(waiting_for("w"), now_);
        CPPUNIT_ASSERT(planner_->plan(now_).empty());

        now_ += milliseconds{300};
        planner_->on_used({"base", "y"}, now_);
        planner_->on_used({"base", "z"}, now_);
        planner_->on_demand(waiting_for("w"), now_);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), planner_->plan(now_).at(0).what.adapter);
    }

    void demand_that_no_order_met_is_told_with_its_reason() {
        load("x");
        load("y");
        load("z");
        for (const auto* name : {"x", "y", "z"}) {
            planner_->on_used({"base", name}, now_);
        }
        planner_->on_demand(waiting_for("w"), now_);
        planner_->plan(now_);
        now_ += milliseconds{200};
        planner_->plan(now_);
        const auto unmet = planner_->take_unmet();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unmet.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w"), unmet.front().what.adapter);
        CPPUNIT_ASSERT(unmet.front().reason == hold_back::adapters_in_use);
    }

    /// Guards against a store that counts as busy while looks at loads that have ended go
    /// unanswered.
    void load_whose_end_is_not_seen_holds_no_other_back_for_long() {
        planner_->on_demand(waiting_for("x"), now_);
        planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::accepted, now_);
        now_ += milliseconds{600};
        planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::unknown, now_);
        planner_->on_demand(waiting_for("y"), now_);
        const auto order = planner_->plan(now_).at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("y"), order.what.adapter);
    }

    /// Replays three loads whose looks go unanswered, then two adapters at once.
    void loads_whose_ends_are_seen_late_do_not_narrow_the_window() {
        for (const auto* name : {"x", "y", "z"}) {
            load(name);
        }
        for (const auto* name : {"s", "v", "w"}) {
            now_ += std::chrono::seconds{1};
            planner_->on_demand(waiting_for(name), now_);
            planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::holds, now_);
            planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::accepted, now_);
            now_ += milliseconds{600};
            planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::unknown, now_);
            now_ += milliseconds{600};
            planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::holds, now_);
        }
        now_ += std::chrono::seconds{1};
        std::set<std::string> loaded;
        for (int step = 0; step < 4; ++step) {
            planner_->on_demand(waiting_for("t"), now_);
            planner_->on_demand(waiting_for("u"), now_);
            for (const auto& order : planner_->plan(now_)) {
                const bool loads = order.kind == planned_kind::load;
                loaded.insert(loads ? order.what.adapter : "");
                planner_->on_outcome(order, loads ? order_outcome::accepted : order_outcome::holds,
                                     now_);
            }
        }
        CPPUNIT_ASSERT(loaded.contains("t") && loaded.contains("u"));
    }

private:
    void load(const std::string& adapter) {
        planner_->on_demand(waiting_for(adapter), now_);
        planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::accepted, now_);
        now_ += milliseconds{300};
        planner_->on_outcome(planner_->plan(now_).at(0), order_outcome::holds, now_);
    }

    residency last_state(const std::string& adapter) {
        auto state = residency::absent;
        for (const auto& change : planner_->take_changes()) {
            if (change.what.adapter == adapter) {
                state = change.state;
            }
        }
        return state;
    }

    std::unique_ptr<adapter_planner> planner_;
    support::time_point now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapter_planner_test);

} // namespace
