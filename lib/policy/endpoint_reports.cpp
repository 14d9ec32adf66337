#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

/// Slots and batch are empty. Orders that are not answered yet were for the former run, so their
/// answers count for nothing.
std::vector<std::string> endpoint_scheduler::impl::restarted() {
    std::vector<std::string> ended;
    ended.reserve(running.size());
    for (const auto& [id, item] : running) {
        ended.push_back(id);
    }
    running.clear();
    slots.clear();
    changed.clear();
    draining.reset();
    taken_over.reset();
    foreign_running = 0;
    for (auto& [adapter, record] : loads) {
        record.stale = record.phase == load_phase::ordered;
    }
    for (auto& [adapter, stale] : unloads) {
        stale = true;
    }
    return ended;
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
    for (const auto& [adapter, at] : changed) {
        if (now - at <= limits.report_lag) {
            names.push_back(adapter);
        }
    }
    for (const auto& [adapter, stale] : unloads) {
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
    // A report of this age may still show the time before the takeover.
    if (!taken_over || now - *taken_over <= limits.report_lag) {
        return;
    }
    const auto pinned = slots.takeover_pinned();
    std::vector<std::string> idle;
    foreign_running = 0;
    for (const auto& name : pinned) {
        if (std::ranges::find(report.active, name) == report.active.end()) {
            idle.push_back(name);
            continue;
        }
        // With work of this owner on it, the report doesn't tell whose work runs.
        foreign_running += slots.pins(name) == 1 ? 1 : 0;
    }
    slots.release_takeover_pins(idle);
    if (idle.size() == pinned.size()) {
        taken_over.reset();
    }
}

} // namespace dragonflystair::policy
