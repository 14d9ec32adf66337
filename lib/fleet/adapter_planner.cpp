#include "dragonflystair/fleet/send_permits.h"

#include "adapter_planner_impl.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Demand expires if it is not repeated for this long; nodes repeat it every 50 ms.
constexpr milliseconds demand_lifetime{160};
/// Calls that have waited longer time out before their adapter is loaded: the shortest objective of
/// the deployments, 500 ms, minus the time of a load.
constexpr milliseconds max_servable_wait{250};
/// Delay from the end of a rejected call's Retry-After until its demand reaches the planner: a new
/// connection, a round trip and the report of the demand.
constexpr milliseconds retry_margin{250};

residency to_residency(slot_state state) {
    switch (state) {
    case slot_state::ready:
        return residency::ready;
    case slot_state::ordered:
    case slot_state::loading:
        return residency::loading;
    case slot_state::unloading:
        return residency::absent;
    }
    return residency::absent;
}

} // namespace

std::string_view to_string(load_blocker reason) {
    switch (reason) {
    case load_blocker::none:
        return "none";
    case load_blocker::engines_busy:
        return "engines_busy";
    case load_blocker::store_busy:
        return "store_busy";
    case load_blocker::adapters_in_use:
        return "adapters_in_use";
    }
    return "none";
}

adapter_planner::adapter_planner() : impl_(std::make_unique<impl>()) {}

adapter_planner::~adapter_planner() = default;

void adapter_planner::configure(const configuration& current) {
    impl_->current = current;
}

void adapter_planner::update(const endpoint_record& record) {
    auto& target = impl_->engines[record.id];
    const bool restarted =
        target.record.started_ms != record.started_ms || target.record.address != record.address;
    target.record = record;
    if (!restarted) {
        return;
    }
    target.models.clear();
    target.adapters.clear();
    target.recent_adapters.clear();
    target.backoff_until = {};
    target.limit_per_s.reset();
    target.limited_until = {};
    target.orders_accepted = record.orders_accepted;
    // Orders given up before a restart may match a count of the new run.
    target.reachable_count = std::max(target.reachable_count, record.orders_accepted);
    target.unexplained_conflicts = 0;
    target.unknown_adapters = 0;
    target.order_in_flight = false;
    target.unanswered = 0;
    target.repeat.reset();
    // A record may be one heartbeat old, so its contents are confirmed before the first order.
    target.needs_report = record.orders_accepted > 0;
    for (const auto& model : record.models) {
        impl_->add_resident(target, model, {});
    }
}

void adapter_planner::remove(std::string_view endpoint) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        impl_->engines.erase(found);
    }
}

void adapter_planner::pause(std::string_view endpoint, time_point until) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.backoff_until = until;
    }
}

void adapter_planner::set_limit(std::string_view endpoint, std::optional<double> per_s) {
    const auto found = impl_->engines.find(endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    const auto rate = per_s ? std::optional(std::max(*per_s, min_endpoint_rate)) : std::nullopt;
    if (found->second.limit_per_s != rate) {
        found->second.limit_per_s = rate;
        found->second.limited_until = {};
    }
}

void adapter_planner::set_draining(std::string_view endpoint) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.record.draining = true;
    }
}

void adapter_planner::on_demand(const adapter_demand& demand, time_point now) {
    auto& state = impl_->demands[demand.model];
    if (demand.waiting > state.waiting) {
        impl_->popular.on_request(key_of(demand.model), now,
                                  static_cast<double>(demand.waiting - state.waiting));
    } else if (demand.diverted > 0 || demand.crowded > 0) {
        impl_->popular.on_request(key_of(demand.model), now);
    }
    if (now - state.window_start > diverted_window) {
        state.diverted = 0;
        state.crowded = 0;
        state.window_start = now;
    }
    if (demand.waiting == 0) {
        impl_->end_wait(demand.model, state);
    } else if (state.waiting == 0) {
        state.waiting_since = now;
    }
    state.waiting = demand.waiting;
    state.diverted += static_cast<double>(demand.diverted);
    state.crowded += static_cast<double>(demand.crowded);
    if (demand.retry_after.count() > 0) {
        state.retries_expected_by = now + demand.retry_after + retry_margin;
    }
    state.last_demand_at = now;
}

void adapter_planner::on_used(const model_name& model, time_point now, std::size_t calls) {
    // Running calls count too, since their adapter is worth its slot until they end.
    impl_->popular.on_request(key_of(model), now,
                              static_cast<double>(std::max<std::size_t>(calls, 1)));
    for (auto& [id, target] : impl_->engines) {
        if (const auto entry = target.adapters.find(model); entry != target.adapters.end()) {
            entry->second.last_used = now;
        }
    }
}

void adapter_planner::require_version(const model_name& model, std::uint64_t version) {
    auto& required = impl_->required[model];
    required = std::max(required, version);
}

void adapter_planner::on_adapter_resident(std::string_view endpoint, const model_name& model) {
    const auto found = impl_->engines.find(endpoint);
    if (found != impl_->engines.end() && !model.adapter.empty()) {
        found->second.recent_adapters.insert(model);
    }
}

void adapter_planner::on_lease_acquired() {
    for (auto& [id, target] : impl_->engines) {
        target.needs_report = true;
        // An order of an earlier lease of this node may be in flight.
        target.reachable_count = std::max(target.reachable_count, target.orders_accepted + 1);
        target.former_holder_orders = true;
        target.order_in_flight = false;
        target.unanswered = 0;
        target.repeat.reset();
    }
}

/// Records calls that stopped waiting without an order for their adapter. Retries start a new wait.
void adapter_planner::impl::end_wait(const model_name& model, demand_state& demand) {
    if (demand.waiting > 0 && demand.blocker != load_blocker::none) {
        unmet.push_back(
            {model, demand.waiting, demand.last_demand_at - demand.waiting_since, demand.blocker});
    }
    demand.waiting = 0;
}

/// Expires demand that was not repeated.
void adapter_planner::impl::expire_demand(time_point now) {
    for (auto entry = demands.begin(); entry != demands.end();) {
        auto& [model, demand] = *entry;
        const auto age = now - demand.last_demand_at;
        const bool gave_up = demand.waiting > 0 && age > demand_lifetime;
        if (gave_up) {
            end_wait(model, demand);
        }
        const bool ended = (gave_up || age > diverted_window) && now >= demand.retries_expected_by;
        entry = ended ? demands.erase(entry) : std::next(entry);
    }
}

std::vector<planned_order> adapter_planner::plan(time_point now) {
    std::vector<planned_order> orders;
    impl_->expire_demand(now);
    for (auto& [id, target] : impl_->engines) {
        if (target.order_in_flight || target.paused_until > now || target.backoff_until > now ||
            target.limited_until > now || target.record.draining) {
            continue;
        }
        if (auto repeat = std::exchange(target.repeat, {}); repeat && !target.needs_report) {
            target.order_in_flight = true;
            impl_->space_orders(target, now);
            orders.push_back(std::move(*repeat));
            continue;
        }
        std::optional<planned_order> order;
        if (target.needs_report || impl::report_due(target, now)) {
            order = impl_->make_order(target, order_kind::report, {}, false);
        }
        order = order ? order : impl_->due_check(target, now);
        order = order ? order : impl_->version_order(target, now);
        order = order ? order : impl_->model_order(target, now);
        if (order) {
            impl_->begin_order(target, *order, now);
            orders.push_back(std::move(*order));
        }
    }
    std::vector<std::pair<const model_name, demand_state>*> by_age;
    for (auto& entry : impl_->demands) {
        by_age.push_back(&entry);
    }
    // Oldest first, so that no adapter starves, but those whose calls are about to time out are
    // last.
    std::ranges::stable_sort(by_age, {}, [now](const auto* entry) {
        const auto since = entry->second.waiting_since;
        return std::pair(now - since > max_servable_wait, since);
    });
    impl_->window.set_engines(impl_->engines.size());
    std::vector<std::string> engine_ids;
    for (const auto& [id, target] : impl_->engines) {
        if (impl_->accepts_load(target, now)) {
            engine_ids.push_back(id);
        }
    }
    for (auto* entry : by_age) {
        if (auto order = impl_->demand_order(now, entry->first, entry->second, engine_ids)) {
            std::erase(engine_ids, order->endpoint);
            if (order->kind == order_kind::load) {
                impl_->demands.at(entry->first).crowded = 0;
            }
            impl_->begin_order(impl_->engines.at(order->endpoint), *order, now);
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

std::optional<time_point> adapter_planner::next_due() const {
    std::optional<time_point> earliest;
    const auto consider = [&](time_point at) {
        earliest = earliest ? std::min(*earliest, at) : at;
    };
    for (const auto& [id, target] : impl_->engines) {
        if (target.order_in_flight) {
            continue;
        }
        for (const auto& [model, entry] : target.adapters) {
            if (entry.state == slot_state::loading || entry.state == slot_state::unloading) {
                consider(std::max({entry.check_at, target.paused_until, target.backoff_until,
                                   target.limited_until}));
            }
        }
        for (const auto& [name, entry] : target.models) {
            if (entry.state == slot_state::loading) {
                consider(std::max({entry.check_at, target.paused_until, target.backoff_until,
                                   target.limited_until}));
            }
        }
    }
    return earliest;
}

std::vector<residency_change> adapter_planner::take_changes() {
    return std::exchange(impl_->changes, {});
}

std::vector<unmet_demand> adapter_planner::take_unmet() {
    return std::exchange(impl_->unmet, {});
}

std::vector<residency_change> adapter_planner::residencies() const {
    std::vector<residency_change> result;
    for (const auto& [id, target] : impl_->engines) {
        const auto run = run_tag_of(target.record.started_ms);
        for (const auto& [name, entry] : target.models) {
            result.push_back({id, {name, {}}, to_residency(entry.state), entry.version, run});
        }
        for (const auto& [model, entry] : target.adapters) {
            result.push_back({id, model, to_residency(entry.state), entry.version, run});
        }
    }
    return result;
}

} // namespace dragonflystair::fleet
