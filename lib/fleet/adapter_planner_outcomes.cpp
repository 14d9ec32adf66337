#include "adapter_planner_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// A look at this part of the usual time finds loads that have become quicker.
constexpr double first_check_part = 0.9;
/// The same for an adapter that the engine had recently, a tenth.
constexpr milliseconds recent_load_time{25};

/// Pause after an order or report that failed.
constexpr milliseconds failure_pause{200};

/// An unload that waits for its calls lets the engine refuse other orders for a moment; only a
/// conflict that lasts longer than this many tries means that the counts differ.
constexpr std::size_t max_conflicts = 8;
constexpr milliseconds conflict_pause{40};
/// Reports are some hundred milliseconds old, so orders pause this long before one is asked for.
constexpr milliseconds report_age{350};
/// Tries of an order that gets no answer, after which the engine is probably lost.
constexpr std::size_t max_repeats = 4;

} // namespace

/// The engine carries the order out; `due_check` finds when it is done.
void adapter_planner::impl::on_accepted(engine& item, const planned_order& order, time_point now) {
    if (order.check) {
        return;
    }
    ++item.orders_accepted;
    if (order.model.adapter.empty()) {
        item.models[order.model.model] =
            make_slot(slot_state::loading, 0, now, now + model_check_period);
        return;
    }
    const bool loads = order.kind == order_kind::load;
    auto& held = item.adapters[order.model];
    held.replaces = loads && held.state == slot_state::ready;
    held.state = loads ? slot_state::loading : slot_state::unloading;
    held.ordered_at = now;
    held.last_used = now;
    held.check_at = now + check_period;
    if (!loads) {
        return;
    }
    held.version = order.version.value_or(held.version);
    held.check_at =
        now +
        (item.recent.contains(order.model)
             ? support::duration(recent_load_time)
             : std::chrono::duration_cast<support::duration>(window.expected() * first_check_part));
    change(item, order.model, residency::loading, held.version);
}

/// What was ordered is so.
void adapter_planner::impl::on_holds(engine& item, const planned_order& order, time_point now) {
    // A load that was not answered was carried out if its repeat already holds.
    if (order.repeat && order.kind == order_kind::load) {
        ++item.orders_accepted;
    }
    if (order.model.adapter.empty()) {
        item.models[order.model.model] = make_slot(slot_state::ready, 0, now);
        change(item, order.model, residency::ready, 0);
        return;
    }
    if (order.kind == order_kind::unload) {
        // An adapter that no call uses is unloaded at once, which counts as an order.
        item.orders_accepted += order.check ? 0 : 1;
        item.adapters.erase(order.model);
        item.recent.insert(order.model);
        return;
    }
    auto& held = item.adapters[order.model];
    // While an order of the engine goes unanswered, the ends of its loads are seen late.
    const bool seen_late = held.ordered_at && item.unanswered_at >= *held.ordered_at;
    if (order.check && held.ordered_at && !seen_late && !held.replaces &&
        !item.recent.contains(order.model)) {
        window.on_load_done(now - *held.ordered_at, now);
    }
    held.replaces = false;
    held.state = slot_state::ready;
    held.version = order.version.value_or(held.version);
    held.last_used = now;
    change(item, order.model, residency::ready, held.version);
}

void adapter_planner::impl::ask_for_report(engine& item, time_point now) {
    item.unanswered = 0;
    item.needs_report = true;
    item.paused_until = now + report_age;
}

/// The engine may carry the order out seconds later, but not once it has accepted another one, as
/// each order names the count that it expects. So it is given again at once.
void adapter_planner::impl::on_unanswered(engine& item, const planned_order& order,
                                          time_point now) {
    item.unanswered_at = now;
    if (++item.unanswered > max_repeats) {
        ask_for_report(item, now);
        return;
    }
    if (!order.check) {
        item.repeat = order;
        item.repeat->repeat = true;
    }
}

void adapter_planner::impl::on_conflict(engine& item, const planned_order& order, time_point now) {
    if (order.repeat) {
        // Only this node orders, so what changed the count was a try without an answer.
        item.unanswered = 0;
        on_accepted(item, order, now);
        return;
    }
    withdraw(item, order);
    item.paused_until = now + conflict_pause;
    if (++item.conflicts >= max_conflicts) {
        item.conflicts = 0;
        item.needs_report = true;
        item.paused_until = now + report_age;
    }
}

void adapter_planner::on_outcome(const planned_order& order, order_outcome outcome,
                                 time_point now) {
    const auto found = impl_->engines.find(order.endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    auto& item = found->second;
    item.order_under_way = false;
    if (outcome != order_outcome::conflict) {
        item.conflicts = 0;
    }
    switch (outcome) {
    case order_outcome::accepted:
        impl_->on_accepted(item, order, now);
        item.unanswered = 0;
        return;
    case order_outcome::in_effect:
        impl_->on_holds(item, order, now);
        item.unanswered = 0;
        return;
    case order_outcome::conflict:
        impl_->on_conflict(item, order, now);
        return;
    case order_outcome::failed:
        if (order.repeat) {
            impl_->ask_for_report(item, now);
            return;
        }
        impl_->withdraw(item, order);
        item.paused_until = now + failure_pause;
        return;
    case order_outcome::unknown:
        impl_->on_unanswered(item, order, now);
        return;
    }
}

void adapter_planner::on_report(std::string_view endpoint, const engine_report& report,
                                time_point now) {
    const auto found = impl_->engines.find(endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    auto& item = found->second;
    item.order_under_way = false;
    item.needs_report = false;
    item.unanswered = 0;
    item.repeat.reset();
    item.orders_accepted = report.orders_accepted;
    const auto former = std::exchange(item.adapters, {});
    const auto models = std::exchange(item.models, {});
    for (const auto& model : report.models) {
        impl_->hold(item, model, now);
    }
    for (const auto& text : report.pending) {
        const auto slash = text.find('/');
        const auto at = text.find('@');
        if (slash == std::string::npos) {
            continue;
        }
        const model_name model{text.substr(0, slash), text.substr(slash + 1, at - slash - 1)};
        item.adapters[model] = make_slot(slot_state::loading, 0, now, now);
    }
    for (const auto& [model, held] : former) {
        if (const auto now_held = item.adapters.find(model); now_held != item.adapters.end()) {
            now_held->second.last_used = std::max(now_held->second.last_used, held.last_used);
        } else {
            impl_->change(item, model, residency::absent, held.version);
        }
    }
    for (const auto& [name, held] : models) {
        if (!item.models.contains(name)) {
            impl_->change(item, {name, {}}, residency::absent, 0);
        }
    }
}

void adapter_planner::on_report_failed(std::string_view endpoint, time_point now) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.order_under_way = false;
        found->second.paused_until = now + failure_pause;
    }
}

} // namespace dragonflystair::fleet
