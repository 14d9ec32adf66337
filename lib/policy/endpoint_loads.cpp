#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

/// Weight of a queued long request in an adapter's urgency, relative to a short one.
constexpr double long_request_weight = 0.25;
/// Period in which a pending request for a permit is repeated, so that a new holder of the store's
/// grant receives it.
constexpr std::chrono::seconds renewal_period{1};

} // namespace

std::size_t endpoint_scheduler::impl::queued_for(std::string_view adapter) const {
    const auto count = queued_by_adapter.find(adapter);
    return count == queued_by_adapter.end() ? 0 : count->second.total();
}

double endpoint_scheduler::impl::urgency(std::string_view adapter,
                                         const load_record& record) const {
    const auto count = queued_by_adapter.find(adapter);
    if (count == queued_by_adapter.end()) {
        return record.prefetch_urgency;
    }
    return record.prefetch_urgency + static_cast<double>(count->second.short_work) +
           static_cast<double>(count->second.long_work) * long_request_weight;
}

std::size_t endpoint_scheduler::impl::loads_in(load_phase phase) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(loads, [&](const auto& item) { return item.second.phase == phase; }));
}

/// An adapter with queued requests is evicted only if it was chosen for draining, which happens
/// when no other adapter can be evicted.
bool endpoint_scheduler::impl::evictable(std::string_view adapter) const {
    return slots.pins(adapter) == 0 && (queued_for(adapter) == 0 || draining_adapter == adapter);
}

std::size_t endpoint_scheduler::impl::obtainable_slots() const {
    std::size_t count = slots.free_slots();
    for (const auto& name : slots.resident()) {
        count += evictable(name) ? 1 : 0;
    }
    for (const auto& [name, stale] : pending_unloads) {
        count += stale ? 0 : 1;
    }
    return count;
}

std::optional<std::string> endpoint_scheduler::impl::victim(support::time_point now) const {
    // All adapters cost the same to reload, so the value of an adapter is its request rate. Queued
    // requests outweigh any rate, so that adapters with queued requests are evicted last.
    constexpr double queued_request_value = 1e6;
    const auto lowest = slots.victim([&](std::string_view name) {
        if (draining_adapter == name) {
            return -1.0;
        }
        return demand.rate(name, now) +
               queued_request_value * static_cast<double>(queued_for(name));
    });
    return lowest && evictable(*lowest) ? lowest : std::nullopt;
}

void endpoint_scheduler::impl::evict_one(support::time_point now, actions& out) {
    const auto name = victim(now);
    if (!name || !slots.begin_unload(*name)) {
        return;
    }
    if (draining_adapter == *name) {
        draining_adapter.reset();
    }
    pending_unloads[*name] = false;
    slot_changed_at[*name] = now;
    out.emplace_back(unload_action{*name});
}

/// Chooses an adapter to drain. While traffic keeps every resident adapter pinned, an adapter that
/// waits for a slot would never get one. The resident adapter with the lowest request rate and no
/// long request running then gets no new requests until its pins are released.
void endpoint_scheduler::impl::choose_draining_adapter(support::time_point now) {
    const bool needed = std::ranges::any_of(loads, [&](const auto& item) {
        return item.second.phase != load_phase::ordered && queued_for(item.first) > 0 &&
               now >= item.second.not_before;
    });
    if (!needed) {
        draining_adapter.reset();
    }
    if (!needed || draining_adapter || !orders_allowed || obtainable_slots() > 0) {
        return;
    }
    std::set<std::string_view> protected_adapters;
    for (const auto& [id, item] : running) {
        if (item.lane == work_class::long_work) {
            protected_adapters.insert(item.adapter);
        }
    }
    for (const auto& name : slots.takeover_pinned()) {
        protected_adapters.insert(name);
    }
    const auto names = slots.resident();
    for (const auto& name : names) {
        const bool lower =
            !draining_adapter || demand.rate(name, now) < demand.rate(*draining_adapter, now);
        if (!protected_adapters.contains(name) && lower) {
            draining_adapter = name;
        }
    }
}

void endpoint_scheduler::impl::request_permit(const std::string& adapter, load_record& record,
                                              support::time_point now, actions& out) {
    if (record.phase == load_phase::requested) {
        if (now - record.renewed >= renewal_period) {
            record.renewed = now;
            out.emplace_back(request_permit_action{adapter, urgency(adapter, record)});
        }
        return;
    }
    const std::size_t committed = loads_in(load_phase::requested) + loads_in(load_phase::granted);
    if (!orders_allowed || now < record.not_before || obtainable_slots() <= committed) {
        return;
    }
    record.phase = load_phase::requested;
    record.requested_at = now;
    record.renewed = now;
    out.emplace_back(request_permit_action{adapter, urgency(adapter, record)});
}

void endpoint_scheduler::impl::use_permit(const std::string& adapter, load_record& record,
                                          support::time_point now, actions& out) {
    if (!orders_allowed || now - record.granted_at >= limits.permit_use_timeout) {
        record.phase = load_phase::idle;
        record.not_before = std::max(record.not_before, now + limits.load_retry_delay);
        out.emplace_back(release_permit_action{adapter});
        return;
    }
    if (slots.state(adapter) != slot_state::absent) {
        return;
    }
    if (slots.begin_load(adapter)) {
        record.phase = load_phase::ordered;
        record.ordered_at = now;
        slot_changed_at[adapter] = now;
        out.emplace_back(load_action{adapter});
        return;
    }
    const auto evictions_in_progress = static_cast<std::size_t>(
        std::ranges::count_if(pending_unloads, [](const auto& item) { return !item.second; }));
    if (evictions_in_progress < loads_in(load_phase::granted)) {
        evict_one(now, out);
    }
}

void endpoint_scheduler::impl::release_unneeded_permits(support::time_point now, actions& out) {
    for (const auto& adapter : std::exchange(unneeded_permits, {})) {
        out.emplace_back(release_permit_action{adapter});
    }
    for (auto it = loads.begin(); it != loads.end();) {
        const auto current = it++;
        auto& [adapter, record] = *current;
        const bool needed = queued_for(adapter) > 0 || record.prefetch_urgency > 0;
        const bool present =
            slots.state(adapter) == slot_state::resident && draining_adapter != adapter;
        if ((needed && !present) || record.phase == load_phase::ordered) {
            continue;
        }
        // One pending request for a permit is kept although no queued request needs it, to detect
        // when a store that grants no permits recovers.
        const bool probe = record.phase == load_phase::requested && !present &&
                           now - record.requested_at >= limits.permit_timeout &&
                           loads_in(load_phase::requested) == 1;
        if (probe) {
            continue;
        }
        if (record.phase != load_phase::idle) {
            out.emplace_back(release_permit_action{adapter});
            record.phase = load_phase::idle;
        }
        // The failure count outlives the queued requests for a while, so that new ones do not
        // restart the exponential backoff.
        if (record.failures == 0 || now >= record.not_before + load_record::max_retry_delay) {
            loads.erase(current);
        }
    }
}

void endpoint_scheduler::impl::plan_loads(support::time_point now, actions& out) {
    if (draining_adapter && slots.state(*draining_adapter) != slot_state::resident) {
        draining_adapter.reset();
    }
    for (const auto& [adapter, count] : queued_by_adapter) {
        const bool absent = slots.state(adapter) == slot_state::absent;
        if (absent && !slots.marked_unusable(adapter)) {
            loads.try_emplace(adapter);
        }
    }
    release_unneeded_permits(now, out);
    std::vector<std::pair<double, std::string>> by_urgency;
    by_urgency.reserve(loads.size());
    for (const auto& [adapter, record] : loads) {
        by_urgency.emplace_back(-urgency(adapter, record), adapter);
    }
    std::ranges::sort(by_urgency);
    for (const auto& [negated, adapter] : by_urgency) {
        auto& record = loads.find(adapter)->second;
        // After an engine restart, an unload order sent to the previous run may still be
        // unanswered.
        const bool free_to_load =
            slots.state(adapter) == slot_state::absent && !pending_unloads.contains(adapter);
        if (record.phase == load_phase::granted) {
            use_permit(adapter, record, now, out);
        }
        if (free_to_load &&
            (record.phase == load_phase::idle || record.phase == load_phase::requested)) {
            request_permit(adapter, record, now, out);
        }
    }
    choose_draining_adapter(now);
}

} // namespace dragonflystair::policy
