#include "dragonflystair/support/hash.h"

#include "adapter_planner_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Loads of adapters in progress on one engine, the maximum that engines accept.
constexpr std::size_t max_in_transit = 4;

/// Check interval for replacements and unloads, which wait for the calls that use the adapter.
constexpr milliseconds drain_check_period{60};

/// An adapter that was reported in use more recently may still have a call running: nodes report
/// five times a second, and a report takes 40 ms between regions.
constexpr milliseconds min_idle_time{300};

/// Time for which an adapter waits for a busy engine that had it recently and loads it in a tenth
/// of the time. After that, another engine fetches it from the store.
constexpr milliseconds recent_engine_wait{100};

/// Number of calls diverted to another data centre within `diverted_window` that justifies a copy
/// in this one.
constexpr double diverted_copy_threshold = 4;
/// The same for calls sent to a busy engine of this data centre.
constexpr double crowded_copy_threshold = 6;

/// An adapter used within this time is replaced by its new version at once; others are unloaded.
constexpr milliseconds recent_use_window{5'000};

} // namespace

const engine_class* adapter_planner::impl::class_of(const engine& target) const {
    const auto* service = current.find_service(target.record.service);
    return service == nullptr || !service->has_engines ? nullptr : &service->engines;
}

void adapter_planner::impl::record_change(const engine& target, const model_name& model,
                                          residency state, std::uint64_t version) {
    changes.push_back(
        {target.record.id, model, state, version, run_tag_of(target.record.started_ms)});
}

/// Adds a model and its adapters that an engine reports as resident.
void adapter_planner::impl::add_resident(engine& target, const resident_model& loaded,
                                         time_point now) {
    target.models[loaded.name] = make_slot(slot_state::ready, loaded.version, now);
    record_change(target, {loaded.name, {}}, residency::ready, loaded.version);
    for (const auto& adapter : loaded.adapters) {
        const model_name model{loaded.name, adapter.name};
        const auto known = target.adapters.find(model);
        const auto used = known == target.adapters.end() ? time_point{} : known->second.last_used;
        target.adapters[model] = make_slot(slot_state::ready, adapter.version, used);
        record_change(target, model, residency::ready, adapter.version);
    }
}

planned_order adapter_planner::impl::make_order(const engine& target, order_kind kind,
                                                const model_name& model, bool check) const {
    planned_order order;
    order.endpoint = target.record.id;
    order.address = target.record.address;
    order.started_ms = target.record.started_ms;
    order.kind = kind;
    order.model = model;
    order.orders_accepted = target.orders_accepted;
    order.check = check;
    if (const auto version = required_version(model);
        kind == order_kind::load && version > 0 && !model.adapter.empty()) {
        order.version = version;
    }
    return order;
}

/// Loads a base model on an engine that has none, such as after a restart.
std::optional<planned_order> adapter_planner::impl::model_order(engine& target, time_point now) {
    for (auto& [name, entry] : target.models) {
        if (entry.state == slot_state::loading) {
            if (entry.check_at > now) {
                return std::nullopt;
            }
            entry.check_at = now + model_check_period;
            return make_order(target, order_kind::load, {name, {}}, true);
        }
    }
    const auto* engines_class = class_of(target);
    if (!target.models.empty() || engines_class == nullptr || engines_class->models.empty()) {
        return std::nullopt;
    }
    // One model at a time in a data centre, since parallel loads slow down the store.
    const bool other_loading = std::ranges::any_of(engines, [](const auto& other) {
        return std::ranges::any_of(other.second.models, [](const auto& entry) {
            return entry.second.state == slot_state::loading;
        });
    });
    if (other_loading) {
        return std::nullopt;
    }
    const auto& model = engines_class->models.front();
    if (model.weights_mb > engines_class->weights_mb) {
        return std::nullopt;
    }
    return make_order(target, order_kind::load, {model.name, {}}, false);
}

/// Returns a check of an accepted order whose check time has come.
std::optional<planned_order> adapter_planner::impl::due_check(engine& target, time_point now) {
    for (auto& [model, entry] : target.adapters) {
        const bool settled = entry.state == slot_state::ready || entry.state == slot_state::ordered;
        if (settled || entry.check_at > now) {
            continue;
        }
        const bool waits = entry.replaces || entry.state == slot_state::unloading;
        entry.check_at = now + (waits ? drain_check_period : check_period);
        return make_order(
            target, entry.state == slot_state::loading ? order_kind::load : order_kind::unload,
            model, true);
    }
    return std::nullopt;
}

/// Replaces an adapter of an outdated version if it is in use, and unloads it otherwise.
std::optional<planned_order> adapter_planner::impl::version_order(engine& target, time_point now) {
    for (const auto& [model, entry] : target.adapters) {
        if (entry.state != slot_state::ready || entry.version >= required_version(model)) {
            continue;
        }
        const bool busy = now - entry.last_used < recent_use_window || demands.contains(model);
        return make_order(target, busy ? order_kind::load : order_kind::unload, model, false);
    }
    return std::nullopt;
}

/// Returns whether the engine has room for so many more adapters of this total size beside all that
/// it may hold.
bool adapter_planner::impl::has_room(const engine& target, std::size_t more, double more_mb) const {
    const auto* engines_class = class_of(target);
    if (engines_class == nullptr ||
        target.adapters.size() + target.unknown_adapters + more > engines_class->adapter_slots) {
        return false;
    }
    double used_mb = more_mb;
    double largest_mb = 0;
    for (const auto& model : engines_class->models) {
        largest_mb = std::max(largest_mb, model.adapter_mb);
    }
    used_mb += static_cast<double>(target.unknown_adapters) * largest_mb;
    for (const auto& [name, entry] : target.models) {
        const auto* other = engines_class->find(name);
        used_mb += other == nullptr ? 0 : other->weights_mb;
    }
    for (const auto& [name, entry] : target.adapters) {
        const auto* other = engines_class->find(name.model);
        used_mb += other == nullptr ? 0 : other->adapter_mb;
    }
    return used_mb <= engines_class->weights_mb;
}

bool adapter_planner::impl::fits(const engine& target, const model_name& model) const {
    const auto* engines_class = class_of(target);
    const auto* base = engines_class == nullptr ? nullptr : engines_class->find(model.model);
    return base != nullptr && has_room(target, 1, base->adapter_mb);
}

/// Returns the least popular adapter that is idle, is not awaited by retries and has a request rate
/// of at most `max_rate`; empty if there is none.
std::optional<model_name> adapter_planner::impl::eviction_candidate(const engine& target,
                                                                    double max_rate,
                                                                    time_point now) const {
    std::optional<model_name> best;
    double least = 0;
    for (const auto& [model, entry] : target.adapters) {
        if (entry.state != slot_state::ready || now - entry.last_used < min_idle_time ||
            awaits_retry(model, now)) {
            continue;
        }
        const double rate = popular.rate(key_of(model), now);
        if (rate <= max_rate && (!best || rate < least)) {
            best = model;
            least = rate;
        }
    }
    return best;
}

bool adapter_planner::impl::should_load(const model_name& model, const demand_state& demand,
                                        time_point now) const {
    if (demand.crowded >= crowded_copy_threshold) {
        return true;
    }
    return (demand.waiting > 0 || demand.diverted >= diverted_copy_threshold) &&
           !is_placed(model, now);
}

/// Returns whether retries of calls that were rejected for want of the adapter are still expected.
bool adapter_planner::impl::awaits_retry(const model_name& model, time_point now) const {
    const auto found = demands.find(model);
    return found != demands.end() && found->second.retries_expected_by > now;
}

/// Returns whether some engine in service has the adapter resident, loading or ordered.
bool adapter_planner::impl::is_placed(const model_name& model, time_point now) const {
    return std::ranges::any_of(engines, [&](const auto& other) {
        const auto entry = other.second.adapters.find(model);
        return entry != other.second.adapters.end() &&
               entry->second.state != slot_state::unloading && !other.second.record.draining &&
               other.second.backoff_until <= now && !avoids(other.second);
    });
}

/// Returns the number of adapters being fetched from the store by engines of the data centre. A
/// load that takes twice the expected time has probably ended unobserved, and one whose order was
/// not answered has not begun; neither counts.
std::size_t adapter_planner::impl::loads_from_store(time_point now) const {
    const auto longest = 2 * window.expected();
    std::size_t count = 0;
    for (const auto& [id, target] : engines) {
        for (const auto& [model, entry] : target.adapters) {
            const bool ordered = entry.state == slot_state::ordered && target.unanswered == 0;
            const bool loading = entry.state == slot_state::loading &&
                                 (!entry.ordered_at || now - *entry.ordered_at < longest);
            count += entry.from_store && (ordered || loading) ? 1 : 0;
        }
    }
    return count;
}

/// Returns whether an engine had the adapter recently and could load it again.
bool adapter_planner::impl::was_recently_resident(const model_name& model) const {
    return std::ranges::any_of(engines, [&](const auto& other) {
        return !other.second.record.draining && other.second.recent_adapters.contains(model) &&
               !other.second.adapters.contains(model);
    });
}

/// Returns whether adapters are loaded on other engines instead, since this one has a rate limit
/// and some other engine of its service has none.
bool adapter_planner::impl::avoids(const engine& target) const {
    return target.limit_per_s && std::ranges::any_of(engines, [&](const auto& other) {
               return !other.second.limit_per_s && !other.second.record.draining &&
                      other.second.record.service == target.record.service;
           });
}

/// Delays the next order to an engine with a rate limit, so that orders take at most half of it.
void adapter_planner::impl::space_orders(engine& target, time_point now) {
    constexpr double order_share = 0.5;
    if (target.limit_per_s) {
        const std::chrono::duration<double> gap(1 / (order_share * *target.limit_per_s));
        target.limited_until = now + std::chrono::duration_cast<support::duration>(gap);
    }
}

/// Returns whether the engine can be sent an order to load an adapter now.
bool adapter_planner::impl::accepts_load(const engine& target, time_point now) const {
    if (target.order_in_flight || target.record.draining || target.paused_until > now ||
        target.backoff_until > now || target.limited_until > now || target.models.empty() ||
        class_of(target) == nullptr || avoids(target)) {
        return false;
    }
    const auto in_transit = std::ranges::count_if(target.adapters, [](const auto& entry) {
        return entry.second.state == slot_state::loading ||
               entry.second.state == slot_state::ordered;
    });
    return static_cast<std::size_t>(in_transit) < max_in_transit;
}

/// Returns an order that loads a requested adapter on its preferred engine or evicts another
/// adapter there.
std::optional<planned_order>
adapter_planner::impl::demand_order(time_point now, const model_name& model, demand_state& demand,
                                    std::span<const std::string> engine_ids) {
    demand.blocker = load_blocker::none;
    if (!should_load(model, demand, now)) {
        return std::nullopt;
    }
    if (engine_ids.empty()) {
        demand.blocker = load_blocker::engines_busy;
        return std::nullopt;
    }
    // Waiting calls evict any idle adapter; an additional copy evicts only a less popular one.
    constexpr double any_rate = 1e9;
    const double max_rate = demand.waiting > 0 ? any_rate : popular.rate(key_of(model), now);
    const bool may_fetch =
        loads_from_store(now) < window.limit() &&
        (now - demand.waiting_since >= recent_engine_wait || !was_recently_resident(model));
    demand.blocker = may_fetch ? load_blocker::adapters_in_use : load_blocker::store_busy;
    auto order = support::rendezvous_order(key_of(model), engine_ids);
    std::ranges::stable_partition(
        order, [&](const auto& id) { return engines.at(id).recent_adapters.contains(model); });
    for (const auto& id : order) {
        auto& target = engines.at(id);
        const auto base = target.models.find(model.model);
        if (!accepts_load(target, now) || target.adapters.contains(model) ||
            base == target.models.end() || base->second.state != slot_state::ready ||
            (!may_fetch && !target.recent_adapters.contains(model))) {
            continue;
        }
        if (fits(target, model)) {
            demand.blocker = load_blocker::none;
            return make_order(target, order_kind::load, model, false);
        }
        if (const auto evicted = eviction_candidate(target, max_rate, now)) {
            return make_order(target, order_kind::unload, *evicted, false);
        }
    }
    return std::nullopt;
}

void adapter_planner::impl::begin_order(engine& target, const planned_order& order,
                                        time_point now) {
    target.order_in_flight = true;
    space_orders(target, now);
    if (order.check || order.model.adapter.empty()) {
        return;
    }
    // Nodes stop sending calls before the engine starts to unload or replace the adapter.
    const auto entry = target.adapters.find(order.model);
    if (entry != target.adapters.end()) {
        record_change(target, order.model, residency::absent, entry->second.version);
    } else if (order.kind == order_kind::load) {
        // Reserves the slot, so that no other engine is chosen while the order is in flight.
        auto& reserved = target.adapters[order.model];
        reserved = make_slot(slot_state::ordered, 0, {});
        reserved.from_store = !target.recent_adapters.contains(order.model);
    }
}

/// Reverts the state that was set for an order that was not executed.
void adapter_planner::impl::revert_order(engine& target, const planned_order& order) {
    const auto entry = target.adapters.find(order.model);
    if (entry == target.adapters.end()) {
        return;
    }
    if (entry->second.state == slot_state::ordered) {
        target.adapters.erase(entry);
    } else if (entry->second.state == slot_state::ready) {
        record_change(target, order.model, residency::ready, entry->second.version);
    }
}

} // namespace dragonflystair::fleet
