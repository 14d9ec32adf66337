#include "dragonflystair/fleet/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using support::time_point;

std::optional<endpoint_record> endpoint_watch::on_listed(endpoint_record record) {
    const auto known = started_.find(record.id);
    if (restoring_ && known != started_.end() && record.started_ms < known->second) {
        return std::nullopt;
    }
    if (const auto gone = gone_.find(record.id); gone != gone_.end()) {
        const bool same_run = gone->second == record.started_ms;
        if (restoring_ && record.started_ms <= gone->second) {
            return std::nullopt;
        }
        gone_.erase(gone);
        if (same_run) {
            started_.insert_or_assign(record.id, record.started_ms);
            return std::nullopt;
        }
    }
    if (const auto found = missing_.find(record.id); found != missing_.end()) {
        missing_.erase(found);
    }
    started_.insert_or_assign(record.id, record.started_ms);
    if (record.draining) {
        draining_.insert_or_assign(record.id, record.started_ms);
    }
    const auto draining_run = draining_.find(record.id);
    record.draining = draining_run != draining_.end() && draining_run->second == record.started_ms;
    return record;
}

bool endpoint_watch::on_draining_reported(std::string_view endpoint, std::uint64_t started_ms) {
    const auto started = started_.find(endpoint);
    if (started != started_.end() && started->second > started_ms) {
        return false;
    }
    const auto draining_run = draining_.find(endpoint);
    if (draining_run != draining_.end() && draining_run->second >= started_ms) {
        return false;
    }
    draining_.insert_or_assign(std::string(endpoint), started_ms);
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
        if (const auto started = started_.find(entry->first); started != started_.end()) {
            gone_.insert_or_assign(entry->first, started->second);
            started_.erase(started);
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
