#pragma once

#include "dragonflystair/net/awaitable.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace dragonflystair::net {

/// Time limit for the operations of a connection. It is a member of its owner and is used only on
/// the owner's strand.
class deadline {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit deadline(const executor& strand) : timer_(strand) {}

    /// Runs `action` at `when` unless the limit is armed again or disarmed before, or the owner is
    /// destroyed. The owner is kept alive while the action runs.
    void arm(time_point when, std::weak_ptr<void> owner, std::function<void()> action);
    void disarm();

    /// Returns whether the last armed limit has expired.
    [[nodiscard]] bool expired() const { return expired_; }

private:
    boost::asio::steady_timer timer_;
    // A timer handler that is already queued cannot be cancelled, so it compares its generation.
    std::uint64_t generation_ = 0;
    bool expired_ = false;
};

} // namespace dragonflystair::net
