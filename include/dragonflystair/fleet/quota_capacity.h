#pragma once

#include <algorithm>

namespace dragonflystair::fleet {

/// Smallest capacity of a quota's bucket in seconds of its rate, so that a quota without a burst
/// can be used between two rounds of grants.
inline constexpr double min_quota_capacity_s = 0.1;

/// Returns the most units that a quota's bucket can hold, at least one. A call that costs more is
/// never within the quota.
inline double quota_capacity(double rate_per_s, double burst) {
    return std::max({burst, rate_per_s * min_quota_capacity_s, 1.0});
}

} // namespace dragonflystair::fleet
