#include "dragonflystair/fleet/endpoint_backoff.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Nodes return to an endpoint within this time after the end of its pause.
constexpr milliseconds return_spread{250};

} // namespace

endpoint_backoff::endpoint_backoff(std::string node) : node_(std::move(node)) {}

std::optional<time_point> endpoint_backoff::on_refused(std::string_view endpoint,
                                                       std::uint64_t started_ms, milliseconds pause,
                                                       time_point sent, time_point now) {
    std::erase_if(entries_, [now](const auto& item) { return item.second.until <= now; });
    const auto place = support::fingerprint(node_ + '\n' + std::string(endpoint));
    const auto spread = milliseconds{
        static_cast<std::int64_t>(place % static_cast<std::uint64_t>(return_spread.count()))};
    const auto until = now + std::min<milliseconds>(pause, longest_pause) + spread;
    const auto known = entries_.find(endpoint);
    if (known != entries_.end() && known->second.started_ms == started_ms) {
        auto& item = known->second;
        const bool later_word = sent >= item.told_at;
        if (until == item.until || (until < item.until && !later_word)) {
            return std::nullopt;
        }
    }
    entries_.insert_or_assign(std::string(endpoint), entry{started_ms, until, now});
    return until;
}

bool endpoint_backoff::allows(std::string_view endpoint, std::uint64_t started_ms,
                              time_point now) const {
    const auto known = entries_.find(endpoint);
    return known == entries_.end() || known->second.started_ms != started_ms ||
           known->second.until <= now;
}

} // namespace dragonflystair::fleet
