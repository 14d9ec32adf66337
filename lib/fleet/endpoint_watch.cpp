#include "dragonflystair/fleet/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using support::time_point;

std::optional<endpoint_record> endpoint_watch::on_listed(endpoint_record record, time_point now) {
    auto& known = endpoints_[record.id];
    if (!accepts(known, record.started_ms, now)) {
        return std::nullopt;
    }
    if (known.run != record.started_ms) {
        known.run = record.started_ms;
        known.latest_run = std::max(known.latest_run, record.started_ms);
        known.run_listed = now;
    }
    known.gone = false;
    known.doubted_run.reset();
    if (const auto found = missing_.find(record.id); found != missing_.end()) {
        missing_.erase(found);
    }
    if (record.draining) {
        known.draining_run = record.started_ms;
    }
    record.draining = known.draining_run == record.started_ms;
    return record;
}

/// Returns whether a record of this run is valid, and otherwise remembers that it was listed.
bool endpoint_watch::accepts(known_endpoint& known, std::uint64_t run, time_point now) const {
    if (!known.run || run > known.latest_run) {
        return true;
    }
    const bool in_force = run == *known.run;
    if (in_force && !known.gone) {
        return true;
    }
    if (restoring_) {
        return false;
    }
    const bool repeated = std::exchange(known.doubted_run, run) == run;
    return repeated && (in_force || now >= known.run_listed + late_write_time);
}

bool endpoint_watch::on_draining_reported(std::string_view endpoint, std::uint64_t started_ms) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        found = endpoints_.emplace(std::string(endpoint), known_endpoint{}).first;
    }
    auto& known = found->second;
    const bool former = known.run && started_ms != *known.run && started_ms <= known.latest_run;
    if (former || known.draining_run == started_ms) {
        return false;
    }
    known.draining_run = started_ms;
    return true;
}

void endpoint_watch::on_missing(std::string_view endpoint, time_point now) {
    missing_.try_emplace(std::string(endpoint), now);
}

void endpoint_watch::set_store_reachable(bool reachable, time_point now) {
    if (reachable && !reachable_) {
        recovered_at_ = now;
    }
    reachable_ = reachable;
}

void endpoint_watch::on_store_restored(time_point now) {
    recovered_at_ = now;
    restoring_ = true;
}

/// Returns when a missing entry counts as gone. An entry that went missing soon after the store's
/// recovery may have expired during the outage.
time_point endpoint_watch::gone_at(time_point missing_since) const {
    if (!recovered_at_ || missing_since > *recovered_at_ + relist_time) {
        return missing_since;
    }
    return *recovered_at_ + relist_time;
}

std::vector<std::string> endpoint_watch::take_gone(time_point now) {
    std::vector<std::string> gone;
    if (!reachable_) {
        return gone;
    }
    restoring_ = restoring_ && now < *recovered_at_ + relist_time;
    for (auto entry = missing_.begin(); entry != missing_.end();) {
        if (gone_at(entry->second) > now) {
            ++entry;
            continue;
        }
        gone.push_back(entry->first);
        if (const auto known = endpoints_.find(entry->first); known != endpoints_.end()) {
            known->second.gone = true;
            known->second.doubted_run.reset();
        }
        entry = missing_.erase(entry);
    }
    return gone;
}

std::optional<time_point> endpoint_watch::next_due() const {
    std::optional<time_point> earliest;
    if (!reachable_) {
        return earliest;
    }
    for (const auto& [id, since] : missing_) {
        const auto at = gone_at(since);
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

} // namespace dragonflystair::fleet
