#include "dragonflystair/fleet/announced_limits.h"

#include "dragonflystair/fleet/endpoint_watch.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

namespace {

/// Returns whether `left` allows fewer requests than `right`.
bool is_stricter(const std::optional<double>& left, const std::optional<double>& right) {
    return left && (!right || *left < *right);
}

} // namespace

std::string_view to_string(request_kind kind) {
    switch (kind) {
    case request_kind::first_try:
        return "first_try";
    case request_kind::retry:
        return "retry";
    case request_kind::resumed_stream:
        return "resumed_stream";
    case request_kind::order:
        return "order";
    case request_kind::check:
        return "check";
    case request_kind::report:
        return "report";
    }
    return "first_try";
}

bool announced_limits::observe(std::string_view endpoint, const limit_observation& observed) {
    auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        // Most endpoints never name a limit, so there is nothing to keep about them.
        if (observed.per_s) {
            entries_.emplace(std::string(endpoint), entry{observed, {}});
        }
        return observed.per_s.has_value();
    }
    auto& latest = found->second.latest;
    if (observed.started_ms != latest.started_ms) {
        if (observed.started_ms < latest.started_ms) {
            return false;
        }
        const bool changed = latest.per_s != observed.per_s;
        found->second = entry{observed, {}};
        return changed;
    }
    if (observed.received_at <= latest.sent) {
        return false;
    }
    const bool newer = observed.sent >= latest.received_at + min_hold;
    if (observed.per_s == latest.per_s) {
        latest.sent = std::max(latest.sent, observed.sent);
        latest.received_at = std::max(latest.received_at, observed.received_at);
        return false;
    }
    if (!newer && !is_stricter(observed.per_s, latest.per_s)) {
        return false;
    }
    latest = observed;
    return true;
}

void announced_limits::on_run_listed(std::string_view endpoint, std::uint64_t former_started_ms,
                                     std::uint64_t started_ms, support::time_point now) {
    const auto found = entries_.find(endpoint);
    if (found == entries_.end() || found->second.latest.started_ms != former_started_ms) {
        return;
    }
    auto& latest = found->second.latest;
    if (now < latest.received_at + endpoint_watch::late_write_time) {
        latest.started_ms = started_ms;
    } else {
        entries_.erase(found);
    }
}

void announced_limits::remove(std::string_view endpoint) {
    if (const auto found = entries_.find(endpoint); found != entries_.end()) {
        entries_.erase(found);
    }
}

std::optional<double> announced_limits::per_s(std::string_view endpoint,
                                              std::uint64_t started_ms) const {
    const auto found = entries_.find(endpoint);
    return found == entries_.end() || found->second.latest.started_ms != started_ms
               ? std::nullopt
               : found->second.latest.per_s;
}

const limit_observation* announced_limits::find(std::string_view endpoint) const {
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? nullptr : &found->second.latest;
}

std::size_t announced_limits::in_force() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& item) { return item.second.latest.per_s.has_value(); }));
}

std::vector<std::string> announced_limits::known() const {
    std::vector<std::string> names;
    names.reserve(entries_.size());
    for (const auto& [endpoint, known] : entries_) {
        names.push_back(endpoint);
    }
    return names;
}

void announced_limits::on_sent(std::string_view endpoint, request_kind kind) {
    const auto found = entries_.find(endpoint);
    if (found != entries_.end() && found->second.latest.per_s) {
        ++found->second.sent.at(static_cast<std::size_t>(kind));
    }
}

std::vector<limited_use> announced_limits::take_use() {
    std::vector<limited_use> used;
    for (auto& [endpoint, known] : entries_) {
        const auto sent = std::exchange(known.sent, {});
        if (known.latest.per_s && std::ranges::any_of(sent, [](auto count) { return count > 0; })) {
            used.push_back({endpoint, *known.latest.per_s, sent});
        }
    }
    return used;
}

} // namespace dragonflystair::fleet
