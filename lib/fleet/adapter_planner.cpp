#include "adapter_planner_impl.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Demand that was not repeated for this long has ended; nodes repeat it every 50 ms.
constexpr milliseconds demand_lifetime{160};
/// Calls that have waited longer give up before their adapter is there: the shortest objective of
/// the deployments, 500 ms, less the time of a load.
constexpr milliseconds hopeful_wait{250};
/// A call that was told to come back is there this much later: new connection, round trip, and the
/// time that the news of it takes to the planner.
constexpr milliseconds return_margin{250};

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
    auto& item = impl_->engines[record.id];
    const bool restarted =
        item.record.started_ms != record.started_ms || item.record.address != record.address;
    item.record = record;
    if (!restarted) {
        return;
    }
    item.models.clear();
    item.adapters.clear();
    item.recent.clear();
    item.left_alone_until = {};
    item.orders_accepted = record.orders_accepted;
    item.order_under_way = false;
    item.unanswered = 0;
    item.repeat.reset();
    // A record may be a heartbeat old, so what it lists is confirmed before the first order.
    item.needs_report = record.orders_accepted > 0;
    for (const auto& model : record.models) {
        impl_->hold(item, model, {});
    }
}

void adapter_planner::remove(std::string_view endpoint) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        impl_->engines.erase(found);
    }
}

void adapter_planner::pause(std::string_view endpoint, time_point until) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.left_alone_until = until;
    }
}

void adapter_planner::set_draining(std::string_view endpoint) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.record.draining = true;
    }
}

void adapter_planner::on_demand(const adapter_demand& demand, time_point now) {
    auto& item = impl_->demands[demand.model];
    if (demand.waiting > item.waiting) {
        impl_->popular.on_request(key_of(demand.model), now,
                                  static_cast<double>(demand.waiting - item.waiting));
    } else if (demand.diverted > 0 || demand.crowded > 0) {
        impl_->popular.on_request(key_of(demand.model), now);
    }
    if (now - item.first_diverted > diverted_window) {
        item.diverted = 0;
        item.crowded = 0;
        item.first_diverted = now;
    }
    if (demand.waiting == 0) {
        impl_->end_wait(demand.model, item);
    } else if (item.waiting == 0) {
        item.waiting_since = now;
    }
    item.waiting = demand.waiting;
    item.diverted += static_cast<double>(demand.diverted);
    item.crowded += static_cast<double>(demand.crowded);
    if (demand.retry_after.count() > 0) {
        item.returns_by = now + demand.retry_after + return_margin;
    }
    item.asked = now;
}

void adapter_planner::on_used(const model_name& model, time_point now, std::size_t calls) {
    // A call that still runs counts too, since its adapter is worth its place as long.
    impl_->popular.on_request(key_of(model), now,
                              static_cast<double>(std::max<std::size_t>(calls, 1)));
    for (auto& [id, item] : impl_->engines) {
        if (const auto held = item.adapters.find(model); held != item.adapters.end()) {
            held->second.last_used = now;
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
        found->second.recent.insert(model);
    }
}

void adapter_planner::on_lease_acquired() {
    for (auto& [id, item] : impl_->engines) {
        item.needs_report = true;
        item.order_under_way = false;
        item.unanswered = 0;
        item.repeat.reset();
    }
}

/// Notes calls that gave up without an order for their adapter. Those that come back wait anew.
void adapter_planner::impl::end_wait(const model_name& model, wanted& demand) {
    if (demand.waiting > 0 && demand.held_back != load_blocker::none) {
        unmet.push_back(
            {model, demand.waiting, demand.asked - demand.waiting_since, demand.held_back});
    }
    demand.waiting = 0;
}

/// Forgets demand that was not repeated.
void adapter_planner::impl::drop_ended_demand(time_point now) {
    for (auto item = demands.begin(); item != demands.end();) {
        auto& [model, demand] = *item;
        const auto age = now - demand.asked;
        const bool gave_up = demand.waiting > 0 && age > demand_lifetime;
        if (gave_up) {
            end_wait(model, demand);
        }
        const bool ended = (gave_up || age > diverted_window) && now >= demand.returns_by;
        item = ended ? demands.erase(item) : std::next(item);
    }
}

std::vector<planned_order> adapter_planner::plan(time_point now) {
    std::vector<planned_order> orders;
    impl_->drop_ended_demand(now);
    for (auto& [id, item] : impl_->engines) {
        if (item.order_under_way || item.paused_until > now || item.left_alone_until > now ||
            item.record.draining) {
            continue;
        }
        if (auto repeat = std::exchange(item.repeat, {}); repeat && !item.needs_report) {
            item.order_under_way = true;
            orders.push_back(std::move(*repeat));
            continue;
        }
        std::optional<planned_order> order;
        if (item.needs_report) {
            order = impl_->order_for(item, order_kind::report, {}, false);
        }
        order = order ? order : impl_->due_check(item, now);
        order = order ? order : impl_->version_order(item, now);
        order = order ? order : impl_->model_order(item, now);
        if (order) {
            impl_->begin(item, *order);
            orders.push_back(std::move(*order));
        }
    }
    std::vector<std::pair<const model_name, wanted>*> by_age;
    for (auto& item : impl_->demands) {
        by_age.push_back(&item);
    }
    // Oldest first, so that no adapter is passed over again and again, but those whose calls are
    // about to give up come last.
    std::ranges::stable_sort(by_age, {}, [now](const auto* item) {
        const auto since = item->second.waiting_since;
        return std::pair(now - since > hopeful_wait, since);
    });
    impl_->window.set_engines(impl_->engines.size());
    std::vector<std::string> names;
    for (const auto& [id, item] : impl_->engines) {
        if (impl_->takes_load(item, now)) {
            names.push_back(id);
        }
    }
    for (auto* item : by_age) {
        if (auto order = impl_->demand_order(now, item->first, item->second, names)) {
            std::erase(names, order->endpoint);
            if (order->kind == order_kind::load) {
                impl_->demands.at(item->first).crowded = 0;
            }
            impl_->begin(impl_->engines.at(order->endpoint), *order);
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
    for (const auto& [id, item] : impl_->engines) {
        if (item.order_under_way) {
            continue;
        }
        for (const auto& [model, held] : item.adapters) {
            if (held.state == slot_state::loading || held.state == slot_state::unloading) {
                consider(std::max({held.check_at, item.paused_until, item.left_alone_until}));
            }
        }
        for (const auto& [name, held] : item.models) {
            if (held.state == slot_state::loading) {
                consider(std::max({held.check_at, item.paused_until, item.left_alone_until}));
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

std::vector<residency_change> adapter_planner::all() const {
    std::vector<residency_change> out;
    for (const auto& [id, item] : impl_->engines) {
        for (const auto& [name, held] : item.models) {
            out.push_back({id, {name, {}}, to_residency(held.state), held.version});
        }
        for (const auto& [model, held] : item.adapters) {
            out.push_back({id, model, to_residency(held.state), held.version});
        }
    }
    return out;
}

} // namespace dragonflystair::fleet
