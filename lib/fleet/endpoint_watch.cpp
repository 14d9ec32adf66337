#include "dragonflystair/fleet/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using support::time_point;

std::optional<endpoint_record> endpoint_watch::on_listed(endpoint_record record) {
    if (const auto gone = gone_.find(record.id); gone != gone_.end()) {
        const bool same_run = gone->second == record.started_ms;
        gone_.erase(gone);
        if (same_run) {
            return std::nullopt;
        }
    }
    if (const auto found = missing_.find(record.id); found != missing_.end()) {
        missing_.erase(found);
    }
    started_.insert_or_assign(record.id, record.started_ms);
    if (record.draining) {
        leaving_.insert_or_assign(record.id, record.started_ms);
    }
    const auto leaving = leaving_.find(record.id);
    record.draining = leaving != leaving_.end() && leaving->second == record.started_ms;
    return record;
}

bool endpoint_watch::on_draining_reported(std::string_view endpoint, std::uint64_t started_ms) {
    const auto started = started_.find(endpoint);
    if (started != started_.end() && started->second > started_ms) {
        return false;
    }
    const auto leaving = leaving_.find(endpoint);
    if (leaving != leaving_.end() && leaving->second >= started_ms) {
        return false;
    }
    leaving_.insert_or_assign(std::string(endpoint), started_ms);
    return true;
}

void endpoint_watch::on_missing(std::string_view endpoint, time_point now) {
    missing_.try_emplace(std::string(endpoint), now);
}

void endpoint_watch::set_store_reachable(bool reachable, time_point now) {
    if (reachable && !reachable_) {
        returned_at_ = now;
    }
    reachable_ = reachable;
}

/// An entry that went missing soon after the store's return may have lapsed before it.
time_point endpoint_watch::gone_at(time_point missing_since) const {
    if (!returned_at_ || missing_since > *returned_at_ + return_time) {
        return missing_since;
    }
    return *returned_at_ + return_time;
}

std::vector<std::string> endpoint_watch::take_gone(time_point now) {
    std::vector<std::string> gone;
    if (!reachable_) {
        return gone;
    }
    for (auto item = missing_.begin(); item != missing_.end();) {
        if (gone_at(item->second) > now) {
            ++item;
            continue;
        }
        gone.push_back(item->first);
        if (const auto started = started_.find(item->first); started != started_.end()) {
            gone_.insert_or_assign(item->first, started->second);
            started_.erase(started);
        }
        item = missing_.erase(item);
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
