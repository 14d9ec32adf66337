#include "dragonflystair/fleet/endpoint_backoff.h"

#include "dragonflystair/fleet/endpoint_watch.h"
#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// The ends of the backoff from one endpoint are spread over this time among nodes.
constexpr milliseconds return_spread{250};

} // namespace

endpoint_backoff::endpoint_backoff(std::string node) : node_(std::move(node)) {}

std::optional<time_point> endpoint_backoff::on_refused(std::string_view endpoint,
                                                       std::uint64_t started_ms, milliseconds pause,
                                                       time_point sent, time_point now) {
    std::erase_if(entries_, [now](const auto& stored) { return stored.second.until <= now; });
    const auto hash = support::fingerprint(node_ + '\n' + std::string(endpoint));
    const auto spread = milliseconds{
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(return_spread.count()))};
    const auto until = now + std::min<milliseconds>(pause, max_pause) + spread;
    const auto known = entries_.find(endpoint);
    if (known != entries_.end() && known->second.started_ms == started_ms) {
        auto& current = known->second;
        const bool more_recent = sent >= current.answered_at;
        if (until == current.until || (until < current.until && !more_recent)) {
            return std::nullopt;
        }
    }
    entries_.insert_or_assign(std::string(endpoint), entry{started_ms, until, now});
    return until;
}

std::optional<time_point> endpoint_backoff::on_run_listed(std::string_view endpoint,
                                                          std::uint64_t former_started_ms,
                                                          std::uint64_t started_ms,
                                                          time_point now) {
    const auto known = entries_.find(endpoint);
    if (known == entries_.end() || known->second.started_ms != former_started_ms) {
        return std::nullopt;
    }
    auto& current = known->second;
    const auto until =
        std::min(current.until, current.answered_at + endpoint_watch::late_write_time);
    if (until <= now) {
        return std::nullopt;
    }
    current.started_ms = started_ms;
    current.until = until;
    return until;
}

bool endpoint_backoff::allows(std::string_view endpoint, std::uint64_t started_ms,
                              time_point now) const {
    const auto known = entries_.find(endpoint);
    return known == entries_.end() || known->second.started_ms != started_ms ||
           known->second.until <= now;
}

} // namespace dragonflystair::fleet
