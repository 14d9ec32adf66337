#include "deadline.h"

#include <utility>

namespace dragonflystair::net {

void deadline::arm(time_point when, std::weak_ptr<void> owner, std::function<void()> action) {
    const auto generation = ++generation_;
    expired_ = false;
    timer_.expires_at(when);
    timer_.async_wait([this, generation, owner = std::move(owner),
                       action = std::move(action)](const boost::system::error_code& error) {
        const auto live_owner = owner.lock();
        if (error || !live_owner || generation != generation_) {
            return;
        }
        expired_ = true;
        action();
    });
}

void deadline::disarm() {
    ++generation_;
    expired_ = false;
    timer_.cancel();
}

} // namespace dragonflystair::net
