#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace dragonflystair::gateway {

/// Lets one coroutine wait for a notification or a time, whichever is first. A notification that
/// arrives while no coroutine waits is kept for the next wait. Not thread-safe.
class wakeup {
public:
    explicit wakeup(const net::executor& context) : timer_(context) {}

    void notify() {
        notified_ = true;
        timer_.cancel();
    }

    net::awaitable<void> wait_until(support::time_point deadline) {
        if (!notified_) {
            const auto remaining =
                std::max(deadline - support::boot_clock::now(), support::duration{});
            timer_.expires_after(remaining);
            co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        notified_ = false;
    }

private:
    boost::asio::steady_timer timer_;
    bool notified_ = false;
};

} // namespace dragonflystair::gateway
