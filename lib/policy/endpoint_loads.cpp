#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

/// A long request that waits for an adapter counts as this much of a short one.
constexpr double long_weight = 0.25;
/// A wanted permit is asked for again in this period, so that a new holder learns of it.
constexpr std::chrono::seconds renewal{1};

} // namespace

std::size_t endpoint_scheduler::impl::waiting_for(std::string_view adapter) const {
    const auto count = waiting.find(adapter);
    return count == waiting.end() ? 0 : count->second.total();
}

double endpoint_scheduler::impl::urgency(std::string_view adapter,
                                         const load_record& record) const {
    const auto count = waiting.find(adapter);
    if (count == waiting.end()) {
        return record.prefetch_urgency;
    }
    return record.prefetch_urgency + static_cast<double>(count->second.short_work) +
           static_cast<double>(count->second.long_work) * long_weight;
}

std::size_t endpoint_scheduler::impl::loads_in(load_phase phase) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(loads, [&](const auto& item) { return item.second.phase == phase; }));
}

/// An adapter with waiting work is evicted only after it was chosen for draining, when nothing else
/// can make room.
bool endpoint_scheduler::impl::evictable(std::string_view adapter) const {
    return slots.pins(adapter) == 0 && (waiting_for(adapter) == 0 || draining == adapter);
}

std::size_t endpoint_scheduler::impl::obtainable_slots() const {
    std::size_t count = slots.free_slots();
    for (const auto& name : slots.resident()) {
        count += evictable(name) ? 1 : 0;
    }
    for (const auto& [name, stale] : unloads) {
        count += stale ? 0 : 1;
    }
    return count;
}

std::optional<std::string> endpoint_scheduler::impl::victim(support::time_point now) const {
    // Reload cost is the same for all adapters today, so the value is the demand. Waiting work
    // outweighs any rate, which leaves those adapters for last.
    constexpr double waiting_value = 1e6;
    const auto lowest = slots.victim([&](std::string_view name) {
        if (draining == name) {
            return -1.0;
        }
        return demand.rate(name, now) + waiting_value * static_cast<double>(waiting_for(name));
    });
    return lowest && evictable(*lowest) ? lowest : std::nullopt;
}

void endpoint_scheduler::impl::evict_one(support::time_point now, actions& out) {
    const auto name = victim(now);
    if (!name || !slots.begin_unload(*name)) {
        return;
    }
    if (draining == *name) {
        draining.reset();
    }
    unloads[*name] = false;
    changed[*name] = now;
    out.emplace_back(unload_action{*name});
}

/// When traffic pins every adapter for good, a waiting one would never get a slot. The adapter with
/// the least demand and no long work then gets no new work until its pins are gone.
void endpoint_scheduler::impl::choose_draining(support::time_point now) {
    const bool needed = std::ranges::any_of(loads, [&](const auto& item) {
        return item.second.phase != load_phase::ordered && waiting_for(item.first) > 0 &&
               now >= item.second.not_before;
    });
    if (!needed) {
        draining.reset();
    }
    if (!needed || draining || !orders_allowed || obtainable_slots() > 0) {
        return;
    }
    std::set<std::string_view> held;
    for (const auto& [id, item] : running) {
        if (item.lane == work_class::long_work) {
            held.insert(item.adapter);
        }
    }
    for (const auto& name : slots.takeover_pinned()) {
        held.insert(name);
    }
    const auto names = slots.resident();
    for (const auto& name : names) {
        const bool lower = !draining || demand.rate(name, now) < demand.rate(*draining, now);
        if (!held.contains(name) && lower) {
            draining = name;
        }
    }
}

void endpoint_scheduler::impl::want(const std::string& adapter, load_record& record,
                                    support::time_point now, actions& out) {
    if (record.phase == load_phase::wanted) {
        if (now - record.renewed >= renewal) {
            record.renewed = now;
            out.emplace_back(request_permit_action{adapter, urgency(adapter, record)});
        }
        return;
    }
    const std::size_t committed = loads_in(load_phase::wanted) + loads_in(load_phase::granted);
    if (!orders_allowed || now < record.not_before || obtainable_slots() <= committed) {
        return;
    }
    record.phase = load_phase::wanted;
    record.wanted_since = now;
    record.renewed = now;
    out.emplace_back(request_permit_action{adapter, urgency(adapter, record)});
}

void endpoint_scheduler::impl::use_permit(const std::string& adapter, load_record& record,
                                          support::time_point now, actions& out) {
    if (!orders_allowed || now - record.granted_at >= limits.permit_use) {
        record.phase = load_phase::idle;
        record.not_before = std::max(record.not_before, now + limits.load_retry);
        out.emplace_back(release_permit_action{adapter});
        return;
    }
    if (slots.state(adapter) != slot_state::absent) {
        return;
    }
    if (slots.begin_load(adapter)) {
        record.phase = load_phase::ordered;
        record.ordered_at = now;
        changed[adapter] = now;
        out.emplace_back(load_action{adapter});
        return;
    }
    const auto under_way = static_cast<std::size_t>(
        std::ranges::count_if(unloads, [](const auto& item) { return !item.second; }));
    if (under_way < loads_in(load_phase::granted)) {
        evict_one(now, out);
    }
}

void endpoint_scheduler::impl::drop_unneeded(support::time_point now, actions& out) {
    for (const auto& adapter : std::exchange(unneeded_permits, {})) {
        out.emplace_back(release_permit_action{adapter});
    }
    for (auto place = loads.begin(); place != loads.end();) {
        const auto current = place++;
        auto& [adapter, record] = *current;
        const bool needed = waiting_for(adapter) > 0 || record.prefetch_urgency > 0;
        const bool present = slots.state(adapter) == slot_state::resident && draining != adapter;
        if ((needed && !present) || record.phase == load_phase::ordered) {
            continue;
        }
        // One wanted permit without waiters stays as a probe of a store that gives none.
        const bool probe = record.phase == load_phase::wanted && !present &&
                           now - record.wanted_since >= limits.permit_timeout &&
                           loads_in(load_phase::wanted) == 1;
        if (probe) {
            continue;
        }
        if (record.phase != load_phase::idle) {
            out.emplace_back(release_permit_action{adapter});
            record.phase = load_phase::idle;
        }
        // The count of failures lasts for a while, so that new waiters don't restart the doubling.
        if (record.failures == 0 || now >= record.not_before + load_record::longest_retry) {
            loads.erase(current);
        }
    }
}

void endpoint_scheduler::impl::plan_loads(support::time_point now, actions& out) {
    if (draining && slots.state(*draining) != slot_state::resident) {
        draining.reset();
    }
    for (const auto& [adapter, count] : waiting) {
        const bool absent = slots.state(adapter) == slot_state::absent;
        if (absent && !slots.forbidden(adapter)) {
            loads.try_emplace(adapter);
        }
    }
    drop_unneeded(now, out);
    std::vector<std::pair<double, std::string>> by_urgency;
    by_urgency.reserve(loads.size());
    for (const auto& [adapter, record] : loads) {
        by_urgency.emplace_back(-urgency(adapter, record), adapter);
    }
    std::ranges::sort(by_urgency);
    for (const auto& [negated, adapter] : by_urgency) {
        auto& record = loads.find(adapter)->second;
        // After a restart an unload order to the former run may still be unanswered.
        const bool free_to_load =
            slots.state(adapter) == slot_state::absent && !unloads.contains(adapter);
        if (record.phase == load_phase::granted) {
            use_permit(adapter, record, now, out);
        }
        if (free_to_load &&
            (record.phase == load_phase::idle || record.phase == load_phase::wanted)) {
            want(adapter, record, now, out);
        }
    }
    choose_draining(now);
}

} // namespace dragonflystair::policy
