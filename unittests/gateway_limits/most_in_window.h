#pragma once

#include "dragonflystair/support/time.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dragonflystair::gateway {

/// Returns the largest number of arrivals in any window.
inline std::size_t most_in_window(const std::vector<support::time_point>& arrivals,
                                  support::duration window) {
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::ranges::find_if(first, arrivals.end(),
                                              [&](auto at) { return at - *first >= window; });
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace dragonflystair::gateway
