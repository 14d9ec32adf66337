#include "dragonflystair/policy/retry_budget.h"

#include <algorithm>

namespace dragonflystair::policy {

retry_budget::retry_budget(double share, double burst)
    : share_(share), burst_(burst), available_(burst) {}

void retry_budget::on_success() {
    available_ = std::min(burst_, available_ + share_);
}

bool retry_budget::try_take() {
    // Allows for rounding: ten successes at a share of 0.1 sum to slightly less than one in binary
    // floating point.
    constexpr double rounding = 1e-9;
    if (available_ + rounding < 1) {
        return false;
    }
    available_ = std::max(0.0, available_ - 1);
    return true;
}

} // namespace dragonflystair::policy
