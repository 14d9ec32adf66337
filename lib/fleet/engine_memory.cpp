#include "dragonflystair/fleet/engine_memory.h"

#include <algorithm>
#include <chrono>

namespace dragonflystair::fleet {

using support::time_point;

namespace {

/// Time until all nodes of a data centre know a placement: the interval of load reports, which is
/// 200 ms, and as much for delays on the way.
constexpr std::chrono::milliseconds report_delay{400};

/// Part of an engine's memory that its lead leaves to other nodes.
constexpr std::size_t unled_divisor = 8;

} // namespace

void recent_tokens::add(std::size_t tokens, time_point now) {
    if (tokens > 0) {
        placements_.push_back({tokens, now});
        total_ += tokens;
    }
}

std::size_t recent_tokens::total(time_point now) {
    while (!placements_.empty() && now - placements_.front().at > report_delay) {
        total_ -= placements_.front().tokens;
        placements_.pop_front();
    }
    return total_;
}

bool engine_memory::has_room(std::size_t tokens, placement by) const {
    if (tokens > capacity) {
        return false;
    }
    const auto unled = capacity / unled_divisor;
    const auto count = std::max<std::size_t>(nodes, 1);
    switch (by) {
    case placement::lead:
        return held == 0 || held + tokens <= capacity - unled;
    case placement::node: {
        const auto known = held - std::min(held, recent);
        const auto free = capacity - unled - std::min(capacity - unled, known);
        return held == 0 || recent + tokens <= free / count ||
               (recent == 0 && held + tokens <= capacity / 2);
    }
    case placement::foreign:
        return own + tokens <= std::max(unled, capacity / count) ||
               (own == 0 && tokens <= capacity / 2);
    }
    return false;
}

} // namespace dragonflystair::fleet
