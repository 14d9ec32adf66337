#include "dragonflystair/fleet/placement_lease.h"

#include <algorithm>

namespace dragonflystair::fleet {

using support::time_point;

namespace {

/// Gap between two ticks beyond which the node was suspended; ticks occur every 50 ms.
constexpr std::chrono::milliseconds min_suspension_gap{1'000};

} // namespace

void placement_lease::on_holder_reported(std::uint64_t fence, time_point now) {
    highest_fence_ = std::max(highest_fence_, fence);
    if (holds_ && fence > fence_) {
        holds_ = false;
    }
    if (fence >= highest_fence_) {
        holder_reported_at_ = now;
        vacant_since_.reset();
        leave_due_ = leave_due_ || (member_ && !holds_);
    }
}

bool placement_lease::take_leave_due() {
    if (!leave_due_) {
        return false;
    }
    leave_due_ = false;
    member_ = false;
    return true;
}

void placement_lease::on_holder_lost(time_point now) {
    holder_reported_at_.reset();
    vacant_since_ = now;
}

bool placement_lease::join_due(std::size_t rank, time_point now) const {
    if (now - last_join_ < limits_.renewal_period) {
        return false;
    }
    if (holds_ || member_) {
        return true;
    }
    const auto rank_delay = limits_.candidate_step * static_cast<std::int64_t>(rank);
    if (holder_reported_at_) {
        return now - *holder_reported_at_ > limits_.holder_timeout + rank_delay;
    }
    return vacant_since_ && now - *vacant_since_ >= limits_.vacancy_delay + rank_delay;
}

void placement_lease::on_join_sent(time_point now) {
    last_join_ = now;
}

void placement_lease::on_joined(std::uint64_t fence, bool holds, time_point sent, time_point now) {
    member_ = true;
    if (!holds) {
        holds_ = false;
        return;
    }
    const bool expired = sent - renewed_ > limits_.lifetime;
    if (!holds_ || expired) {
        fence_ = fence;
        first_order_at_ = now + limits_.first_order_delay;
    }
    holds_ = true;
    suspended_ = false;
    renewed_ = sent;
    highest_fence_ = std::max(highest_fence_, fence_);
    holder_reported_at_.reset();
    leave_due_ = false;
}

void placement_lease::on_fenced(time_point now) {
    holds_ = false;
    leave_due_ = member_;
    vacant_since_ = now;
}

void placement_lease::release() {
    holds_ = false;
    member_ = false;
}

bool placement_lease::may_order(bool linked, time_point now) const {
    if (!holds_ || suspended_ || now < first_order_at_) {
        return false;
    }
    return linked || now - renewed_ < limits_.lifetime;
}

bool placement_lease::confirmed(time_point now) const {
    return may_order(false, now);
}

void placement_lease::on_tick(time_point now) {
    if (last_tick_ != time_point{} && now - last_tick_ > min_suspension_gap) {
        suspended_ = true;
    }
    last_tick_ = now;
    if (!vacant_since_ && !holder_reported_at_) {
        vacant_since_ = now;
    }
}

} // namespace dragonflystair::fleet
