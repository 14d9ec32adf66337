#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dragonflystair::fleet {

/// Timing of the placement lease.
struct lease_limits {
    std::chrono::milliseconds renewal_period{500}; ///< A quarter of the lifetime.
    std::chrono::milliseconds lifetime{2'000};
    /// A new holder sends no orders for this long, so that those of the previous one have arrived.
    std::chrono::milliseconds first_order_delay{3'000};
    /// Time without a report of the holder after which the first candidate joins; each further
    /// candidate waits one `candidate_step` longer.
    std::chrono::milliseconds holder_timeout{1'200};
    std::chrono::milliseconds candidate_step{400};
    /// Delay before the first candidate joins a vacant lease, in which nodes that start together
    /// discover each other.
    std::chrono::milliseconds vacancy_delay{300};
};

/// Returns the fencing number of a generation of the lease's group. A store that was restored from
/// a copy may assign generations again, so the era of the store comes first.
constexpr std::uint64_t fencing_number(std::uint64_t store_era, std::uint64_t generation) {
    constexpr unsigned generation_bits = 32;
    return (store_era << generation_bits) + generation;
}

/// One node's view of the lease on the engines of one data centre. The lease is membership of a
/// store group that only its holder joins; the group's generation gives the fencing number of
/// orders.
///
/// A holder that loses contact with the store continues while engines check fencing numbers and no
/// peer reports a newer holder: no other node can have acquired the lease without a larger number.
/// A node that was suspended may have missed such a report, so it renews before its next order. Has
/// no clock and does no I/O.
class placement_lease {
public:
    explicit placement_lease(lease_limits limits) : limits_(limits) {}

    /// Records that a peer reported a lease holder with this fencing number.
    void on_holder_reported(std::uint64_t fence, support::time_point now);
    /// Records that the holder is leaving or that its link was lost.
    void on_holder_lost(support::time_point now);

    /// Returns whether to join the group now; `rank` is this node's position among the candidates,
    /// from 0.
    [[nodiscard]] bool join_due(std::size_t rank, support::time_point now) const;
    void on_join_sent(support::time_point now);
    /// Records the answer to a join sent at `sent`, with the fencing number of the group. A member
    /// that does not hold the lease stays in the group until the previous holder's membership
    /// expires or another holder is reported.
    void on_joined(std::uint64_t fence, bool holds, support::time_point sent,
                   support::time_point now);
    /// Records that an engine rejected an order since it has seen a larger fencing number.
    void on_fenced(support::time_point now);
    void release();
    /// Returns whether to leave the group because another node holds the lease, and resets that.
    bool take_leave_due();

    [[nodiscard]] bool holds() const { return holds_; }
    [[nodiscard]] std::uint64_t fence() const { return fence_; }
    /// Returns whether an order may be sent now. `linked` is whether some connected peer would
    /// report a newer holder.
    [[nodiscard]] bool may_order(bool linked, support::time_point now) const;
    /// Returns whether the store confirms the lease, so that no other node can hold it: it was
    /// renewed within its lifetime and former holders have had time to stop.
    [[nodiscard]] bool confirmed(support::time_point now) const;
    /// Records that this node ran at `now`; a long gap means that it was suspended.
    void on_tick(support::time_point now);

private:
    lease_limits limits_;
    bool holds_ = false;
    bool member_ = false; ///< Member of the group.
    bool leave_due_ = false;
    bool suspended_ = false; ///< Since the last renewal.
    std::uint64_t fence_ = 0;
    std::uint64_t highest_fence_ = 0;
    support::time_point renewed_;
    support::time_point first_order_at_;
    support::time_point last_join_;
    support::time_point last_tick_;
    std::optional<support::time_point> holder_reported_at_;
    std::optional<support::time_point> vacant_since_;
};

} // namespace dragonflystair::fleet
