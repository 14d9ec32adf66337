#include "dragonflystair/support/hash.h"

#include "adapter_planner_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Adapters on their way to one engine at once, as many as engines take.
constexpr std::size_t max_in_transit = 4;

/// A replacement or an unload waits for the calls that use the adapter.
constexpr milliseconds patient_check_period{60};

/// An adapter that was reported in use less long ago may still have a call running; nodes report
/// five times a second, and a report is 40 ms on its way between regions.
constexpr milliseconds least_idle{300};

/// Calls wait this long for the engine that had their adapter recently, which loads it in a tenth
/// of the time; then it is fetched from the store for another.
constexpr milliseconds former_engine_patience{100};

/// Calls sent to another data centre that pay for a copy here, within `diverted_window`.
constexpr double diverted_worth_copy = 4;
/// The same for calls sent to a busy engine of this data centre.
constexpr double crowded_worth_copy = 6;

/// An adapter used within this time gets its new version at once; others are dropped.
constexpr milliseconds busy_window{5'000};

} // namespace

const engine_class* adapter_planner::impl::class_of(const engine& item) const {
    const auto* service = current.find_service(item.record.service);
    return service == nullptr || !service->has_engines ? nullptr : &service->engines;
}

void adapter_planner::impl::change(const engine& item, const model_name& model, residency state,
                                   std::uint64_t version) {
    changes.push_back({item.record.id, model, state, version});
}

/// Takes over what an engine says that it holds.
void adapter_planner::impl::hold(engine& item, const held_model& loaded, time_point now) {
    item.models[loaded.name] = make_slot(slot_state::ready, loaded.version, now);
    change(item, {loaded.name, {}}, residency::ready, loaded.version);
    for (const auto& adapter : loaded.adapters) {
        const model_name model{loaded.name, adapter.name};
        const auto known = item.adapters.find(model);
        const auto used = known == item.adapters.end() ? time_point{} : known->second.last_used;
        item.adapters[model] = make_slot(slot_state::ready, adapter.version, used);
        change(item, model, residency::ready, adapter.version);
    }
}

planned_order adapter_planner::impl::order_for(const engine& item, order_kind kind,
                                               const model_name& model, bool check) const {
    planned_order order;
    order.endpoint = item.record.id;
    order.address = item.record.address;
    order.kind = kind;
    order.model = model;
    order.orders_accepted = item.orders_accepted;
    order.check = check;
    if (const auto version = required_version(model);
        kind == order_kind::load && version > 0 && !model.adapter.empty()) {
        order.version = version;
    }
    return order;
}

/// Loads a base model on an engine that holds none, such as after a restart.
std::optional<planned_order> adapter_planner::impl::model_order(engine& item, time_point now) {
    for (auto& [name, held] : item.models) {
        if (held.state == slot_state::loading) {
            if (held.check_at > now) {
                return std::nullopt;
            }
            held.check_at = now + model_check_period;
            return order_for(item, order_kind::load, {name, {}}, true);
        }
    }
    const auto* engines_class = class_of(item);
    if (!item.models.empty() || engines_class == nullptr || engines_class->models.empty()) {
        return std::nullopt;
    }
    // One model at a time in a data centre, since the store slows down with parallel loads.
    const bool other_loading = std::ranges::any_of(engines, [](const auto& other) {
        return std::ranges::any_of(other.second.models, [](const auto& held) {
            return held.second.state == slot_state::loading;
        });
    });
    if (other_loading) {
        return std::nullopt;
    }
    const auto& model = engines_class->models.front();
    if (model.weights_mb > engines_class->weights_mb) {
        return std::nullopt;
    }
    return order_for(item, order_kind::load, {model.name, {}}, false);
}

/// Repeats an accepted order whose time has come, to learn whether it was carried out.
std::optional<planned_order> adapter_planner::impl::due_check(engine& item, time_point now) {
    for (auto& [model, held] : item.adapters) {
        const bool settled = held.state == slot_state::ready || held.state == slot_state::ordered;
        if (settled || held.check_at > now) {
            continue;
        }
        const bool waits = held.replaces || held.state == slot_state::unloading;
        held.check_at = now + (waits ? patient_check_period : check_period);
        return order_for(item,
                         held.state == slot_state::loading ? order_kind::load : order_kind::unload,
                         model, true);
    }
    return std::nullopt;
}

/// Replaces an adapter of an old version if it is in use, and drops it otherwise.
std::optional<planned_order> adapter_planner::impl::version_order(engine& item, time_point now) {
    for (const auto& [model, held] : item.adapters) {
        if (held.state != slot_state::ready || held.version >= required_version(model)) {
            continue;
        }
        const bool busy = now - held.last_used < busy_window || demands.contains(model);
        return order_for(item, busy ? order_kind::load : order_kind::unload, model, false);
    }
    return std::nullopt;
}

bool adapter_planner::impl::fits(const engine& item, const model_name& model) const {
    const auto* engines_class = class_of(item);
    const auto* base = engines_class == nullptr ? nullptr : engines_class->find(model.model);
    if (base == nullptr || item.adapters.size() >= engines_class->adapter_slots) {
        return false;
    }
    double used_mb = base->adapter_mb;
    for (const auto& [name, held] : item.models) {
        const auto* other = engines_class->find(name);
        used_mb += other == nullptr ? 0 : other->weights_mb;
    }
    for (const auto& [name, held] : item.adapters) {
        const auto* other = engines_class->find(name.model);
        used_mb += other == nullptr ? 0 : other->adapter_mb;
    }
    return used_mb <= engines_class->weights_mb;
}

/// The least popular adapter that nothing has used for a while and that is less popular than the
/// one to load.
std::optional<model_name> adapter_planner::impl::victim(const engine& item, double worth,
                                                        time_point now) const {
    std::optional<model_name> best;
    double least = 0;
    for (const auto& [model, held] : item.adapters) {
        if (held.state != slot_state::ready || now - held.last_used < least_idle ||
            awaits_return(model, now)) {
            continue;
        }
        const double rate = popular.rate(key_of(model), now);
        if (rate <= worth && (!best || rate < least)) {
            best = model;
            least = rate;
        }
    }
    return best;
}

bool adapter_planner::impl::is_due(const model_name& model, const wanted& demand,
                                   time_point now) const {
    if (demand.crowded >= crowded_worth_copy) {
        return true;
    }
    return (demand.waiting > 0 || demand.diverted >= diverted_worth_copy) && !placed(model, now);
}

/// Whether calls that were told to come back for the adapter are still to come.
bool adapter_planner::impl::awaits_return(const model_name& model, time_point now) const {
    const auto found = demands.find(model);
    return found != demands.end() && found->second.returns_by > now;
}

/// Whether some engine that takes calls holds the adapter in the version needed or is loading it.
bool adapter_planner::impl::placed(const model_name& model, time_point now) const {
    return std::ranges::any_of(engines, [&](const auto& item) {
        const auto held = item.second.adapters.find(model);
        return held != item.second.adapters.end() && held->second.state != slot_state::unloading &&
               !item.second.record.draining && item.second.left_alone_until <= now;
    });
}

/// Adapters that are on their way from the store to engines of the data centre. A load that takes
/// twice the usual time has probably ended and was not seen, and one whose order was not answered
/// has not begun.
std::size_t adapter_planner::impl::loads_from_store(time_point now) const {
    const auto longest = 2 * window.expected();
    std::size_t count = 0;
    for (const auto& [id, item] : engines) {
        for (const auto& [model, held] : item.adapters) {
            const bool ordered = held.state == slot_state::ordered && item.unanswered == 0;
            const bool loading = held.state == slot_state::loading &&
                                 (!held.ordered_at || now - *held.ordered_at < longest);
            count += held.from_store && (ordered || loading) ? 1 : 0;
        }
    }
    return count;
}

/// Whether an engine had the adapter and could load it again.
bool adapter_planner::impl::had_recently(const model_name& model) const {
    return std::ranges::any_of(engines, [&](const auto& item) {
        return !item.second.record.draining && item.second.recent.contains(model) &&
               !item.second.adapters.contains(model);
    });
}

/// Whether the engine can be given an order to load an adapter now.
bool adapter_planner::impl::takes_load(const engine& item, time_point now) const {
    if (item.order_under_way || item.record.draining || item.paused_until > now ||
        item.left_alone_until > now || item.models.empty() || class_of(item) == nullptr) {
        return false;
    }
    const auto in_transit = std::ranges::count_if(item.adapters, [](const auto& held) {
        return held.second.state == slot_state::loading || held.second.state == slot_state::ordered;
    });
    return static_cast<std::size_t>(in_transit) < max_in_transit;
}

/// Loads a wanted adapter on the engine that it belongs to, or makes room there.
std::optional<planned_order>
adapter_planner::impl::demand_order(time_point now, const model_name& model, wanted& demand,
                                    std::span<const std::string> names) {
    demand.held_back = load_blocker::none;
    if (!is_due(model, demand, now)) {
        return std::nullopt;
    }
    if (names.empty()) {
        demand.held_back = load_blocker::engines_busy;
        return std::nullopt;
    }
    // Waiting calls drive out anything idle; a copy for convenience only what is less popular.
    constexpr double any_rate = 1e9;
    const double worth = demand.waiting > 0 ? any_rate : popular.rate(key_of(model), now);
    const bool may_fetch =
        loads_from_store(now) < window.limit() &&
        (now - demand.waiting_since >= former_engine_patience || !had_recently(model));
    demand.held_back = may_fetch ? load_blocker::adapters_in_use : load_blocker::store_busy;
    auto order = support::rendezvous_order(key_of(model), names);
    std::ranges::stable_partition(
        order, [&](const auto& id) { return engines.at(id).recent.contains(model); });
    for (const auto& id : order) {
        auto& item = engines.at(id);
        const auto base = item.models.find(model.model);
        if (!takes_load(item, now) || item.adapters.contains(model) || base == item.models.end() ||
            base->second.state != slot_state::ready ||
            (!may_fetch && !item.recent.contains(model))) {
            continue;
        }
        if (fits(item, model)) {
            demand.held_back = load_blocker::none;
            return order_for(item, order_kind::load, model, false);
        }
        if (const auto out = victim(item, worth, now)) {
            return order_for(item, order_kind::unload, *out, false);
        }
    }
    return std::nullopt;
}

void adapter_planner::impl::begin(engine& item, const planned_order& order) {
    item.order_under_way = true;
    if (order.check || order.model.adapter.empty()) {
        return;
    }
    // Nodes stop sending before the engine starts to unload or to replace.
    const auto held = item.adapters.find(order.model);
    if (held != item.adapters.end()) {
        change(item, order.model, residency::absent, held->second.version);
    } else if (order.kind == order_kind::load) {
        // Takes the place now, so that no other engine is chosen meanwhile.
        auto& held_place = item.adapters[order.model];
        held_place = make_slot(slot_state::ordered, 0, {});
        held_place.from_store = !item.recent.contains(order.model);
    }
}

/// Takes back what was done for an order that was not carried out.
void adapter_planner::impl::withdraw(engine& item, const planned_order& order) {
    const auto held = item.adapters.find(order.model);
    if (held == item.adapters.end()) {
        return;
    }
    if (held->second.state == slot_state::ordered) {
        item.adapters.erase(held);
    } else if (held->second.state == slot_state::ready) {
        change(item, order.model, residency::ready, held->second.version);
    }
}

} // namespace dragonflystair::fleet
