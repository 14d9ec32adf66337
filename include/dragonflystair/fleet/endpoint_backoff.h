#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::fleet {

/// Endpoints that rejected a request of this node with a Retry-After. Until that time has passed,
/// the node sends them no calls, retries, orders or report requests.
///
/// Load pattern it is designed for: an overloaded endpoint that spends its time on rejecting
/// repeated requests. The ends of the backoff differ between nodes, so that they do not all return
/// at once. Has no clock and does no I/O: the time is an argument.
class endpoint_backoff {
public:
    /// Longer backoffs are taken for an error of the endpoint and cut to this; specified as one
    /// day.
    static constexpr std::chrono::hours max_pause{24};
    /// Limit on a backoff relayed by a peer, since the endpoint may have meant that peer only.
    static constexpr std::chrono::seconds max_relayed_pause{10};

    /// `node` determines the offset of this node within the spread of all nodes.
    explicit endpoint_backoff(std::string node);

    /// Records that the endpoint rejected a request sent at `sent`. Returns the new end of its
    /// backoff; empty if it has not changed. A shorter backoff replaces a longer one only if it is
    /// more recent, that is if the request was sent after the previous answer had arrived.
    std::optional<support::time_point>
    on_refused(std::string_view endpoint, std::uint64_t started_ms, std::chrono::milliseconds pause,
               support::time_point sent, support::time_point now);

    /// Records that another run of the endpoint is listed. A rejection of the last seconds may be
    /// its own, since an answer does not tell which run gave it, and holds for it that long.
    /// Returns the end of its backoff, if any.
    std::optional<support::time_point> on_run_listed(std::string_view endpoint,
                                                     std::uint64_t former_started_ms,
                                                     std::uint64_t started_ms,
                                                     support::time_point now);

    /// Returns whether a request may be sent to this run of the endpoint. A restart ends the
    /// backoff.
    [[nodiscard]] bool allows(std::string_view endpoint, std::uint64_t started_ms,
                              support::time_point now) const;

private:
    struct entry {
        std::uint64_t started_ms = 0;
        support::time_point until;
        support::time_point answered_at;
    };

    std::string node_;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace dragonflystair::fleet
