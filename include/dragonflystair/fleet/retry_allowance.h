#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::fleet {

/// Retry budget of all nodes together: the limit on attempts after the first one of each call.
struct retry_limits {
    double ratio = 0.2; ///< Retries per call to a service in one window.
    double slack = 0;   ///< Retries beyond the ratio, for all nodes together.
    support::duration window = std::chrono::seconds{10};
};

/// This node's share of the retry budget, computed without coordination: the ratio applies to its
/// own calls, and the slack is divided among the nodes. Load pattern it is designed for: half of
/// the endpoints reject calls or fail, so that every call needs a retry at once on every node.
class retry_allowance {
public:
    explicit retry_allowance(retry_limits limits) : limits_(limits) {}

    void set_limits(retry_limits limits) { limits_ = limits; }

    void on_call(std::string_view service, support::time_point now);

    /// Consumes one retry; returns false if this node's share of the window is exhausted.
    bool try_take(std::string_view service, std::size_t nodes, support::time_point now);

private:
    struct usage {
        std::deque<support::time_point> calls;
        std::deque<support::time_point> retries;
    };
    void expire(usage& used, support::time_point now) const;

    retry_limits limits_;
    std::map<std::string, usage, std::less<>> used_;
};

} // namespace dragonflystair::fleet
