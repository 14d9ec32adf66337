#include "dragonflystair/membership/lease_keeper.h"

namespace dragonflystair::membership {

bool lease_keeper::renewal_due(support::time_point now) const {
    return !session_ended_ && last_sent_ && now - *last_sent_ >= timing_.renewal_period;
}

void lease_keeper::on_sending(support::time_point now) {
    if (session_ended_) {
        return;
    }
    unconfirmed_.push_back(now);
    last_sent_ = now;
}

void lease_keeper::on_renewals_confirmed(std::uint64_t renewals) {
    while (confirmed_ < renewals && !unconfirmed_.empty()) {
        valid_from_ = unconfirmed_.front();
        unconfirmed_.pop_front();
        ++confirmed_;
    }
}

void lease_keeper::on_session_ended() {
    session_ended_ = true;
}

bool lease_keeper::is_valid(support::time_point now) const {
    const auto end = ends_at();
    return end && now < *end;
}

std::optional<support::time_point> lease_keeper::ends_at() const {
    if (session_ended_ || !valid_from_) {
        return std::nullopt;
    }
    return *valid_from_ + timing_.lease;
}

} // namespace dragonflystair::membership
