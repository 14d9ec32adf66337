#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace dragonflystair::fleet {

struct lease_limits {
    std::chrono::milliseconds renewal_period{500}; ///< A quarter of the lifetime.
    std::chrono::milliseconds lifetime{2'000};
    /// A new holder gives no order for this long, so that those of the former have arrived.
    std::chrono::milliseconds first_order_delay{3'000};
    /// Silence of the holder after which the first candidate tries; later ones wait a step more.
    std::chrono::milliseconds silence{1'200};
    std::chrono::milliseconds candidate_step{400};
    /// Wait before a vacant lease is tried, in which nodes that start together find each other.
    std::chrono::milliseconds settling{300};
};

/// One node's view of the lease on the engines of one data centre. The lease is membership of a
/// store group that only its holder joins; the group's generation is the fencing number of orders.
///
/// A holder that the store no longer answers goes on while engines check fencing and no peer
/// reports a newer holder: nobody else can have got the lease without a larger number. A node that
/// was suspended may have missed that, so it renews before its next order. Pure.
class placement_lease {
public:
    explicit placement_lease(lease_limits limits) : limits_(limits) {}

    /// A peer said that it holds the lease with this fencing number.
    void on_holder_reported(std::uint64_t fence, support::time_point now);
    /// The holder said that it leaves, or its link broke.
    void on_holder_lost(support::time_point now);

    /// Whether to join now; `rank` is this node's place among the candidates, from 0.
    [[nodiscard]] bool join_due(std::size_t rank, support::time_point now) const;
    void on_join_sent(support::time_point now);
    /// `sent` is when the join was sent. A member that does not hold the lease stays in the group
    /// until its former holder's membership has lapsed, or until another holder is heard.
    void on_joined(std::uint64_t generation, bool holds, support::time_point sent,
                   support::time_point now);
    /// An engine has seen a larger fencing number.
    void on_fenced(support::time_point now);
    void release();
    /// Whether to leave the group since another node holds the lease; asked once.
    bool take_leave_due();

    [[nodiscard]] bool holds() const { return holds_; }
    [[nodiscard]] std::uint64_t fence() const { return fence_; }
    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    /// Whether an order may be given now. `linked` tells whether some peer would report a newer
    /// holder.
    [[nodiscard]] bool may_order(bool linked, support::time_point now) const;
    /// Notes that this node ran at `now`; a long gap means that it was suspended.
    void on_tick(support::time_point now);

private:
    lease_limits limits_;
    bool holds_ = false;
    bool applied_ = false; ///< Member of the group.
    bool leave_due_ = false;
    bool suspended_ = false; ///< Since the last renewal.
    std::uint64_t fence_ = 0;
    std::uint64_t generation_ = 0;
    std::uint64_t highest_heard_ = 0;
    support::time_point renewed_;
    support::time_point first_order_at_;
    support::time_point last_join_;
    support::time_point last_tick_;
    std::optional<support::time_point> holder_heard_;
    std::optional<support::time_point> vacant_since_;
};

} // namespace dragonflystair::fleet
