#include "dragonflystair/fleet/balanced_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <vector>

namespace dragonflystair::fleet {

namespace {

/// Time in which about all calls of an endpoint are replaced by others: the duration of a short
/// generation, and more than that of a plain call.
constexpr std::chrono::duration<double> turnover_time{0.2};

/// Returns by how much the cost may differ from the reported one. The reported calls end and others
/// begin independently of each other, so their number changes by about its square root.
double uncertainty_ms(const balanced_choice::candidate& option) {
    const double turnover =
        std::clamp(std::chrono::duration<double>(option.report_age) / turnover_time, 0.0, 1.0);
    const double changed = turnover * static_cast<double>(option.calls + 1);
    return option.cost_per_call_ms * std::sqrt(changed);
}

} // namespace

std::size_t balanced_choice::choose(std::span<const candidate> candidates) {
    double least_bound = std::numeric_limits<double>::infinity();
    for (const auto& option : candidates) {
        least_bound = std::min(least_bound, option.cost_ms + uncertainty_ms(option));
    }
    std::vector<std::size_t> eligible;
    std::vector<double> weights;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].cost_ms - uncertainty_ms(candidates[i]) <= least_bound) {
            eligible.push_back(i);
            weights.push_back(candidates[i].speed);
        }
    }
    const auto draw = [&] {
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
    };
    const auto first = draw();
    if (eligible.size() == 1) {
        return eligible[first];
    }
    weights[first] = 0;
    const auto second = draw();
    return candidates[eligible[second]].cost_ms < candidates[eligible[first]].cost_ms
               ? eligible[second]
               : eligible[first];
}

} // namespace dragonflystair::fleet
