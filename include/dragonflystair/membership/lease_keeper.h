#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
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

    /// True if a renewal should be sent now: a renewal period after the last one was sent, whether
    /// or not that one has been read back. False before the open record was sent.
    [[nodiscard]] bool renewal_due(support::time_point now) const;

    /// The open record or a renewal is about to be queued for its append. Each must reach the log,
    /// in the order of these calls.
    void on_sending(support::time_point now);

    /// `renewals` of this session's records (`ledger::session_state::renewals`, the open record
    /// included) have been read back as accepted. The lease counts from when the last of these was
    /// sent. A count, because several renewals can be under way after a slow append, and counting
    /// an early one from the time of a later one would let the lease outlive the claimant's wait.
    void on_renewals_confirmed(std::uint64_t renewals);

    /// The session has been expired or closed; the lease never holds again.
    void on_lost();

    /// True while the holder may issue orders that rely on its grants.
    [[nodiscard]] bool is_valid(support::time_point now) const;

    /// End of the lease, if there is one.
    [[nodiscard]] std::optional<support::time_point> ends_at() const;

private:
    lease_timing timing_;
    std::deque<support::time_point> outstanding_; ///< When each record not read back was sent.
    std::optional<support::time_point> last_sent_;
    std::uint64_t read_back_ = 0;
    std::optional<support::time_point> confirmed_since_;
    bool lost_ = false;
};

} // namespace dragonflystair::membership
