#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace dragonflystair::membership {

/// Durations of session leases. A claimant waits for `lease` plus `margin` without a renewal before
/// it ends a session; the margin allows for clock drift. The holder renews its lease every
/// `renewal_period`.
struct lease_timing {
    std::chrono::milliseconds lease{10'000};
    std::chrono::milliseconds margin{2'000};
    std::chrono::milliseconds renewal_period{2'000};
};

/// Tracks a session's lease on the holder's side. The lease counts from before its renewal was
/// sent, so that it ends before any claimant may take over.
class lease_keeper {
public:
    explicit lease_keeper(lease_timing timing) : timing_(timing) {}

    /// Returns true if a renewal should be sent now: a renewal period after the last one was sent,
    /// whether or not that one has been read back. Returns false before the open record was sent.
    [[nodiscard]] bool renewal_due(support::time_point now) const;

    /// Called before the open record or a renewal is enqueued for its append. Each of these records
    /// must reach the log, in the order of these calls.
    void on_sending(support::time_point now);

    /// Called after `renewals` records of this session (`ledger::session_state::renewals`, the open
    /// record included) have been read back from the log as accepted. The lease counts from the
    /// time at which the last of these was sent. The argument is a count because several renewals
    /// can be in flight after a slow append, and counting an early one from the send time of a
    /// later one would let the lease outlive the claimant's wait.
    void on_renewals_confirmed(std::uint64_t renewals);

    /// Called when the session has been expired or closed; the lease is never valid again.
    void on_session_ended();

    /// Returns true while the holder may send commands that rely on its grants.
    [[nodiscard]] bool is_valid(support::time_point now) const;

    /// Returns the end of the lease, or nothing if no renewal has been confirmed or the session has
    /// ended.
    [[nodiscard]] std::optional<support::time_point> ends_at() const;

private:
    lease_timing timing_;
    std::deque<support::time_point> unconfirmed_; ///< Send time of each record not yet confirmed.
    std::optional<support::time_point> last_sent_;
    std::uint64_t confirmed_ = 0;
    std::optional<support::time_point> valid_from_;
    bool session_ended_ = false;
};

} // namespace dragonflystair::membership
