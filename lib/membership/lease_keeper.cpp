#include "dragonflystair/membership/lease_keeper.h"

namespace dragonflystair::membership {

bool lease_keeper::renewal_due(support::time_point now) const {
    return !lost_ && last_sent_ && now - *last_sent_ >= timing_.renewal_period;
}

void lease_keeper::on_sending(support::time_point now) {
    if (lost_) {
        return;
    }
    outstanding_.push_back(now);
    last_sent_ = now;
}

void lease_keeper::on_renewals_confirmed(std::uint64_t renewals) {
    while (read_back_ < renewals && !outstanding_.empty()) {
        confirmed_since_ = outstanding_.front();
        outstanding_.pop_front();
        ++read_back_;
    }
}

void lease_keeper::on_lost() {
    lost_ = true;
}

bool lease_keeper::is_valid(support::time_point now) const {
    const auto end = ends_at();
    return end && now < *end;
}

std::optional<support::time_point> lease_keeper::ends_at() const {
    if (lost_ || !confirmed_since_) {
        return std::nullopt;
    }
    return *confirmed_since_ + timing_.lease;
}

} // namespace dragonflystair::membership
