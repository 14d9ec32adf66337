#include "dragonflystair/policy/retry_budget.h"

#include <algorithm>

namespace dragonflystair::policy {

retry_budget::retry_budget(double share, double burst)
    : share_(share), burst_(burst), saved_(burst) {}

void retry_budget::on_success() {
    saved_ = std::min(burst_, saved_ + share_);
}

bool retry_budget::try_take() {
    // Ten successes at a share of 0.1 sum up to slightly less than one in binary floating point.
    constexpr double rounding = 1e-9;
    if (saved_ + rounding < 1) {
        return false;
    }
    saved_ = std::max(0.0, saved_ - 1);
    return true;
}

} // namespace dragonflystair::policy
