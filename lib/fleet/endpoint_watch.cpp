#include "dragonflystair/fleet/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using support::time_point;

std::optional<endpoint_record> endpoint_watch::on_listed(endpoint_record record, time_point now) {
    auto& known = endpoints_[record.id];
    if (!accepts(known, record.started_ms, now)) {
        if (record.draining && !restoring_ && !known.draining) {
            // It may be the present run.
            known.draining = draining_notice{now};
        }
        return std::nullopt;
    }
    if (known.run != record.started_ms) {
        begin_run(known, record.started_ms, now);
    }
    known.gone = false;
    known.doubted_run.reset();
    if (const auto found = missing_.find(record.id); found != missing_.end()) {
        missing_.erase(found);
    }
    update_draining(known, record.draining, now);
    record.draining = known.draining.has_value();
    return record;
}

void endpoint_watch::begin_run(known_endpoint& known, std::uint64_t run, time_point now) {
    const bool may_be_its_own = known.draining && !known.draining->listed && !known.gone &&
                                now < known.draining->last_told + late_write_time;
    if (!may_be_its_own) {
        known.draining.reset();
    }
    if (known.draining_unlisted_run == run) {
        known.draining = draining_notice{now};
    }
    known.run = run;
    known.latest_run = std::max(known.latest_run, run);
    known.run_listed = now;
    if (known.draining_unlisted_run && *known.draining_unlisted_run <= known.latest_run) {
        known.draining_unlisted_run.reset();
    }
}

/// Applies what a valid record says about draining.
void endpoint_watch::update_draining(known_endpoint& known, bool listed_draining, time_point now) {
    if (listed_draining) {
        known.draining = draining_notice{now, true};
    } else if (known.draining && now >= known.draining->last_told + late_write_time &&
               std::exchange(known.draining->ready_listed, true)) {
        known.draining.reset();
    }
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

bool endpoint_watch::on_draining_reported(std::string_view endpoint, std::uint64_t started_ms,
                                          time_point now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        found = endpoints_.emplace(std::string(endpoint), known_endpoint{}).first;
    }
    auto& known = found->second;
    if (known.is_former(started_ms)) {
        return false;
    }
    if (known.run == started_ms) {
        const bool is_new = !known.draining;
        const bool listed = known.draining && known.draining->listed;
        known.draining = draining_notice{now, listed};
        return is_new;
    }
    return std::exchange(known.draining_unlisted_run, started_ms) != started_ms;
}

bool endpoint_watch::is_draining(std::string_view endpoint) const {
    const auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && found->second.draining;
}

bool endpoint_watch::is_former_run(std::string_view endpoint, std::uint64_t started_ms) const {
    const auto found = endpoints_.find(endpoint);
    return found != endpoints_.end() && found->second.is_former(started_ms);
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
            known->second.gone_since = now;
            known->second.doubted_run.reset();
        }
        entry = missing_.erase(entry);
    }
    return gone;
}

std::vector<removed_endpoint> endpoint_watch::recently_gone(time_point now) const {
    std::vector<removed_endpoint> removed;
    for (const auto& [id, known] : endpoints_) {
        if (known.gone && known.run && now < known.gone_since + late_write_time) {
            removed.push_back({id, *known.run});
        }
    }
    return removed;
}

void endpoint_watch::on_removal_told(const removed_endpoint& removed, time_point now) {
    auto& known = endpoints_[removed.id];
    if (known.run) {
        return;
    }
    begin_run(known, removed.started_ms, now);
    known.gone = true;
    known.gone_since = now;
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
