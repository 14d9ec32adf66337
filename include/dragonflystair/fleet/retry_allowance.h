#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::fleet {

/// The bound on sends beyond the first of each call, for all nodes together.
struct retry_limits {
    double ratio = 0.2; ///< Of the calls to a service in one window.
    double slack = 0;   ///< Sends on top of the ratio, for all nodes together.
    support::duration window = std::chrono::seconds{10};
};

/// This node's share of the bound on retries, without asking anyone: its own calls earn the ratio,
/// and the slack is divided among the nodes. Load pattern: half of the endpoints refuse or fail, so
/// that every call asks for a retry at once on every node.
class retry_allowance {
public:
    explicit retry_allowance(retry_limits limits) : limits_(limits) {}

    void set_limits(retry_limits limits) { limits_ = limits; }

    void on_call(std::string_view service, support::time_point now);

    /// Takes one retry; false if this node's share of the window is used up.
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
