#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <optional>

namespace dragonflystair::membership {

/// Durations of leases. Defaults are the figures of the design page.
struct lease_timing {
    std::chrono::milliseconds lease{10'000};
    std::chrono::milliseconds margin{2'000};
    std::chrono::milliseconds renewal_period{2'000};
};

/// The holder's side of its session's lease. It counts from before the renewal was sent, so that it
/// stops before any claimant may take over.
class lease_keeper {
public:
    explicit lease_keeper(lease_timing timing) : timing_(timing) {}

    /// True if a renewal should be sent now.
    [[nodiscard]] bool renewal_due(support::time_point now) const;

    /// The open record or a renewal is about to be sent.
    void on_sending(support::time_point now);

    /// The session's open record or renewal that was sent last has been read back as accepted.
    void on_read_back();

    /// The session has been expired or closed; the lease never holds again.
    void on_lost();

    /// True while the holder may issue orders that rely on its grants.
    [[nodiscard]] bool holds(support::time_point now) const;

    /// End of the lease, if there is one.
    [[nodiscard]] std::optional<support::time_point> ends_at() const;

private:
    lease_timing timing_;
    std::optional<support::time_point> outstanding_since_;
    std::optional<support::time_point> last_sent_;
    std::optional<support::time_point> confirmed_since_;
    bool lost_ = false;
};

} // namespace dragonflystair::membership
