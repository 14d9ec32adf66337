#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <utility>

namespace dragonflystair::stand_ins {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

/// Completion token of every asynchronous operation of the stand-ins: errors are returned, not
/// thrown.
inline constexpr auto returned = asio::as_tuple(asio::use_awaitable);

/// A condition variable for coroutines. Not thread-safe.
class notifier {
public:
    explicit notifier(asio::any_io_executor context) : context_(std::move(context)) {}

    /// Suspends until the next `notify_all` or the deadline.
    asio::awaitable<void> wait_until(steady::time_point deadline) {
        asio::steady_timer timer(context_, deadline);
        // Removes the timer also if the coroutine is destroyed while it is suspended.
        const auto unregister = [this](asio::steady_timer* done) { waiting_.erase(done); };
        const std::unique_ptr<asio::steady_timer, decltype(unregister)> entry(&timer, unregister);
        waiting_.insert(&timer);
        co_await timer.async_wait(returned);
    }

    asio::awaitable<void> wait() { return wait_until(steady::time_point::max()); }

    void notify_all() {
        for (auto* timer : waiting_) {
            timer->cancel();
        }
    }

private:
    asio::any_io_executor context_;
    std::set<asio::steady_timer*> waiting_;
};

} // namespace dragonflystair::stand_ins
