#include "adapter_planner_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Share of the expected load time after which a load is first checked; an earlier check detects
/// loads that have become faster.
constexpr double first_check_share = 0.9;
/// First check of a load of an adapter that the engine had recently, a tenth of the usual time.
constexpr milliseconds recent_load_time{25};

/// Backoff after a failed order or report.
constexpr milliseconds failure_pause{200};

/// An engine also rejects orders while an unload waits for the calls that use the adapter. Only
/// after this many consecutive conflicts does the planner assume that its order count differs from
/// the engine's.
constexpr std::size_t max_conflicts = 8;
constexpr milliseconds conflict_pause{40};
/// An engine's report shows its state of some hundred milliseconds ago, so orders are suspended for
/// this long before a report is requested.
constexpr milliseconds report_delay{350};
/// Time for which unexplained conflicts may take up room while the engine accepts orders all the
/// time. After that, orders are suspended for a report.
constexpr milliseconds max_unexplained_time{2'000};
/// Unanswered attempts of an order after which the engine has probably failed.
constexpr std::size_t max_repeats = 4;

} // namespace

/// Records that the engine accepted one more order.
void adapter_planner::impl::count_order(engine& target, time_point now) {
    ++target.orders_accepted;
    target.reachable_count = std::max(target.reachable_count, target.orders_accepted);
    target.count_changed_at = now;
}

/// Returns whether a report is needed to show what the engine holds after unexplained conflicts and
/// would be newer than the last accepted order.
bool adapter_planner::impl::report_due(engine& target, time_point now) {
    if (target.unexplained_conflicts == 0) {
        return false;
    }
    if (now - target.unexplained_since >= max_unexplained_time) {
        target.paused_until = std::max(target.paused_until, target.count_changed_at + report_delay);
    }
    return now - target.count_changed_at >= report_delay;
}

/// Records that the engine executes the order; `due_check` polls for its completion.
void adapter_planner::impl::on_accepted(engine& target, const planned_order& order,
                                        time_point now) {
    if (order.check) {
        return;
    }
    count_order(target, now);
    if (order.model.adapter.empty()) {
        target.models[order.model.model] =
            make_slot(slot_state::loading, 0, now, now + model_check_period);
        return;
    }
    const bool loads = order.kind == order_kind::load;
    auto& entry = target.adapters[order.model];
    entry.replaces = loads && entry.state == slot_state::ready;
    entry.state = loads ? slot_state::loading : slot_state::unloading;
    entry.ordered_at = now;
    entry.last_used = now;
    entry.check_at = now + check_period;
    if (!loads) {
        return;
    }
    entry.version = order.version.value_or(entry.version);
    entry.check_at = now + (target.recent_adapters.contains(order.model)
                                ? support::duration(recent_load_time)
                                : std::chrono::duration_cast<support::duration>(window.expected() *
                                                                                first_check_share));
    record_change(target, order.model, residency::loading, entry.version);
}

/// Records that the ordered state is in effect.
void adapter_planner::impl::on_in_effect(engine& target, const planned_order& order,
                                         time_point now) {
    // If the repeat of an unanswered load is in effect already, the first attempt was executed.
    if (order.repeat && order.kind == order_kind::load) {
        count_order(target, now);
    }
    if (order.model.adapter.empty()) {
        target.models[order.model.model] = make_slot(slot_state::ready, 0, now);
        record_change(target, order.model, residency::ready, 0);
        return;
    }
    if (order.kind == order_kind::unload) {
        // An adapter that no call uses is unloaded at once, without a check, which counts as an
        // order.
        if (!order.check) {
            count_order(target, now);
        }
        target.adapters.erase(order.model);
        target.recent_adapters.insert(order.model);
        return;
    }
    auto& entry = target.adapters[order.model];
    // While an order to the engine is unanswered, the completion of its loads is observed late.
    const bool seen_late = entry.ordered_at && target.unanswered_at >= *entry.ordered_at;
    if (order.check && entry.ordered_at && !seen_late && !entry.replaces &&
        !target.recent_adapters.contains(order.model)) {
        window.on_load_done(now - *entry.ordered_at, now);
    }
    entry.replaces = false;
    entry.state = slot_state::ready;
    entry.version = order.version.value_or(entry.version);
    entry.last_used = now;
    record_change(target, order.model, residency::ready, entry.version);
}

void adapter_planner::impl::request_report(engine& target, time_point now) {
    target.unanswered = 0;
    target.needs_report = true;
    target.paused_until = now + report_delay;
}

/// Sends an unanswered order again at once. The engine may still execute the first attempt seconds
/// later, but not after accepting another order, since each order names the count that it expects.
void adapter_planner::impl::on_unanswered(engine& target, const planned_order& order,
                                          time_point now) {
    target.unanswered_at = now;
    if (++target.unanswered > max_repeats) {
        target.reachable_count = std::max(target.reachable_count, order.orders_accepted + 1);
        request_report(target, now);
        return;
    }
    if (!order.check) {
        target.repeat = order;
        target.repeat->repeat = true;
    }
}

/// Records a conflict that an unanswered attempt of the order or an earlier order may have caused.
/// One order changes the count by one and loads at most one adapter, so the engine holds at most
/// one more than is known. It held no more than its slots when the order was accepted.
void adapter_planner::impl::on_unexplained_conflict(engine& target, const planned_order& order,
                                                    time_point now) {
    revert_order(target, order);
    const auto* engines_class = class_of(target);
    const bool was_full = target.unexplained_conflicts == 0 && engines_class != nullptr &&
                          std::ranges::none_of(engines_class->models, [&](const auto& model) {
                              return has_room(target, 1, model.adapter_mb);
                          });
    if (target.unexplained_conflicts++ == 0) {
        target.unexplained_since = now;
    }
    target.unknown_adapters += was_full ? 0 : 1;
    count_order(target, now);
    // Checks are load orders too, which the engine executes if it does not hold the adapter.
    if (!has_room(target, 0, 0)) {
        request_report(target, now);
    }
}

void adapter_planner::impl::on_conflict(engine& target, const planned_order& order,
                                        time_point now) {
    if (order.repeat) {
        target.unanswered = 0;
        if (target.former_holder_orders || target.reachable_count > order.orders_accepted) {
            on_unexplained_conflict(target, order, now);
        } else {
            // No other order can have changed the engine's count, so it accepted an unanswered
            // attempt of this one.
            on_accepted(target, order, now);
        }
        return;
    }
    revert_order(target, order);
    target.paused_until = now + conflict_pause;
    if (++target.conflicts >= max_conflicts) {
        target.conflicts = 0;
        target.needs_report = true;
        target.paused_until = now + report_delay;
    }
}

bool adapter_planner::concerns_present_run(const planned_order& order) const {
    const auto found = impl_->engines.find(order.endpoint);
    return found != impl_->engines.end() && found->second.record.started_ms == order.started_ms;
}

void adapter_planner::on_outcome(const planned_order& order, order_outcome outcome,
                                 time_point now) {
    const auto found = impl_->engines.find(order.endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    auto& target = found->second;
    if (order.started_ms != target.record.started_ms) {
        // The present run may still execute an order that its predecessor did not answer.
        target.reachable_count = std::max(target.reachable_count, order.orders_accepted + 1);
        return;
    }
    if (order.orders_accepted != target.orders_accepted) {
        // A report came first, so the outcome tells nothing about the present count.
        target.reachable_count = std::max(target.reachable_count, order.orders_accepted + 1);
        impl_->revert_order(target, order);
        return;
    }
    target.order_in_flight = false;
    if (order.check && target.unexplained_conflicts > 0) {
        // The engine executed the check if it does not hold the adapter.
        target.reachable_count = std::max(target.reachable_count, order.orders_accepted + 1);
    }
    if (!order.check &&
        (outcome == order_outcome::accepted || outcome == order_outcome::in_effect)) {
        target.former_holder_orders = false;
    }
    if (outcome != order_outcome::conflict) {
        target.conflicts = 0;
    }
    switch (outcome) {
    case order_outcome::accepted:
        impl_->on_accepted(target, order, now);
        target.unanswered = 0;
        return;
    case order_outcome::in_effect:
        impl_->on_in_effect(target, order, now);
        target.unanswered = 0;
        return;
    case order_outcome::conflict:
        impl_->on_conflict(target, order, now);
        return;
    case order_outcome::failed:
        if (order.repeat) {
            target.reachable_count = std::max(target.reachable_count, order.orders_accepted + 1);
            impl_->request_report(target, now);
            return;
        }
        impl_->revert_order(target, order);
        target.paused_until = now + failure_pause;
        return;
    case order_outcome::unknown:
        impl_->on_unanswered(target, order, now);
        return;
    }
}

void adapter_planner::on_report(std::string_view endpoint, const engine_report& report,
                                time_point now) {
    const auto found = impl_->engines.find(endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    auto& target = found->second;
    const bool names_runs = report.started_ms != 0 && target.record.started_ms != 0;
    if (names_runs && report.started_ms != target.record.started_ms) {
        on_report_failed(endpoint, now);
        return;
    }
    target.order_in_flight = false;
    target.needs_report = false;
    target.unanswered = 0;
    target.repeat.reset();
    target.orders_accepted = report.orders_accepted;
    target.reachable_count = std::max(target.reachable_count, report.orders_accepted);
    target.unexplained_conflicts = 0;
    target.unknown_adapters = 0;
    const auto former = std::exchange(target.adapters, {});
    const auto models = std::exchange(target.models, {});
    for (const auto& model : report.models) {
        impl_->add_resident(target, model, now);
    }
    for (const auto& text : report.pending) {
        const auto slash = text.find('/');
        const auto at = text.find('@');
        if (slash == std::string::npos) {
            continue;
        }
        const model_name model{text.substr(0, slash), text.substr(slash + 1, at - slash - 1)};
        target.adapters[model] = make_slot(slot_state::loading, 0, now, now);
    }
    for (const auto& [model, entry] : former) {
        if (const auto current_entry = target.adapters.find(model);
            current_entry != target.adapters.end()) {
            current_entry->second.last_used =
                std::max(current_entry->second.last_used, entry.last_used);
        } else {
            impl_->record_change(target, model, residency::absent, entry.version);
        }
    }
    for (const auto& [name, entry] : models) {
        if (!target.models.contains(name)) {
            impl_->record_change(target, {name, {}}, residency::absent, 0);
        }
    }
}

void adapter_planner::on_report_failed(std::string_view endpoint, time_point now) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.order_in_flight = false;
        found->second.paused_until = now + failure_pause;
    }
}

} // namespace dragonflystair::fleet
