#include "sleep.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace dragonflystair::node {

net::awaitable<void> sleep_for(std::chrono::milliseconds duration) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace dragonflystair::node
