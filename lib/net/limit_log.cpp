#include "limit_log.h"

#include "dragonflystair/support/log.h"

#include <utility>

namespace dragonflystair::net {

void limit_log::note(std::string_view reason) {
    counters_.increment("caller_limits_total", reason);
    const std::lock_guard lock(mutex_);
    auto found = active_.find(reason);
    if (found == active_.end()) {
        support::log_change("caller_limit_reached",
                            {{"listener", listener_}, {"reason", std::string(reason)}});
        if (active_.empty()) {
            wait();
        }
        found = active_.emplace(reason, episode{}).first;
    }
    ++found->second.total;
    ++found->second.recent;
}

void limit_log::wait() {
    timer_.expires_after(quiet_time);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self) {
            self->check();
        }
    });
}

void limit_log::check() {
    const std::lock_guard lock(mutex_);
    for (auto item = active_.begin(); item != active_.end();) {
        if (std::exchange(item->second.recent, 0) > 0) {
            ++item;
            continue;
        }
        support::log_change("caller_limit_ended", {{"listener", listener_},
                                                   {"reason", item->first},
                                                   {"times", std::to_string(item->second.total)}});
        item = active_.erase(item);
    }
    if (!active_.empty()) {
        wait();
    }
}

} // namespace dragonflystair::net
