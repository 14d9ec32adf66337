#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

/// Clears slots and batch, and returns the ids of the requests that were running. Orders that are
/// not answered yet were sent to the previous run of the engine, so their answers are ignored.
std::vector<std::string> endpoint_scheduler::impl::on_engine_restart() {
    std::vector<std::string> ended_requests;
    ended_requests.reserve(running.size());
    for (const auto& [id, item] : running) {
        ended_requests.push_back(id);
    }
    running.clear();
    slots.clear();
    slot_changed_at.clear();
    draining_adapter.reset();
    takeover_time.reset();
    former_owner_running = 0;
    for (auto& [adapter, record] : loads) {
        record.stale = record.phase == load_phase::ordered;
    }
    for (auto& [adapter, stale] : pending_unloads) {
        stale = true;
    }
    return ended_requests;
}

void endpoint_scheduler::impl::apply_limits(const engine_report& report) {
    if (report.slots > 0) {
        limits.slots = report.slots;
        slots.resize(report.slots);
    }
    if (report.batch_limit > 0) {
        limits.batch_limit = report.batch_limit;
    }
}

std::vector<std::string> endpoint_scheduler::impl::unsettled(support::time_point now) const {
    std::vector<std::string> names;
    for (const auto& [adapter, changed_at] : slot_changed_at) {
        if (now - changed_at <= limits.max_report_age) {
            names.push_back(adapter);
        }
    }
    for (const auto& [adapter, stale] : pending_unloads) {
        names.push_back(adapter);
    }
    for (const auto& [adapter, record] : loads) {
        if (record.phase == load_phase::ordered) {
            names.push_back(adapter);
        }
    }
    return names;
}

void endpoint_scheduler::impl::release_takeover(const engine_report& report,
                                                support::time_point now) {
    // The report may show a state from before the takeover.
    if (!takeover_time || now - *takeover_time <= limits.max_report_age) {
        return;
    }
    const auto pinned = slots.takeover_pinned();
    std::vector<std::string> idle;
    former_owner_running = 0;
    for (const auto& name : pinned) {
        if (std::ranges::find(report.active, name) == report.active.end()) {
            idle.push_back(name);
            continue;
        }
        // When this owner also runs requests on the adapter, the report does not show whose
        // requests are active.
        former_owner_running += slots.pins(name) == 1 ? 1 : 0;
    }
    slots.release_takeover_pins(idle);
    if (idle.size() == pinned.size()) {
        takeover_time.reset();
    }
}

} // namespace dragonflystair::policy
