#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/counters.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Counts the effects of limits under `caller_limits_total` and writes a log line when a limit
/// starts to take effect and when it has had none for `quiet_time`. Safe from any thread.
class limit_log : public std::enable_shared_from_this<limit_log> {
public:
    static constexpr std::chrono::milliseconds quiet_time{5'000};

    limit_log(const executor& context, std::string listener, support::counters& counters)
        : listener_(std::move(listener)), counters_(counters), timer_(context) {}

    void note(std::string_view reason);

private:
    struct episode {
        std::uint64_t total = 0;
        std::uint64_t recent = 0; ///< Since the last check.
    };

    void wait();
    void check();

    std::string listener_;
    support::counters& counters_;
    std::mutex mutex_; ///< Protects the members below.
    boost::asio::steady_timer timer_;
    std::map<std::string, episode, std::less<>> active_;
};

} // namespace dragonflystair::net
