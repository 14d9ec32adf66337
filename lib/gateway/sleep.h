#pragma once

#include "dragonflystair/net/awaitable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace dragonflystair::gateway {

inline net::awaitable<void> sleep_for(net::executor context, std::chrono::milliseconds duration) {
    boost::asio::steady_timer timer(context, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace dragonflystair::gateway
