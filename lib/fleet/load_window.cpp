#include "dragonflystair/fleet/load_window.h"

#include <algorithm>
#include <cmath>

namespace dragonflystair::fleet {

namespace {

/// Concurrent loads per engine: the maximum that an engine accepts, and the initial and minimum
/// size of the window. The deployments' stores serve 1.55 to 2.7 loads per engine at full speed.
constexpr double max_per_engine = 4;
constexpr double min_per_engine = 1.5;

/// Ratio of the mean to the shortest load time beyond which the store counts as overloaded. Single
/// loads take longer for other reasons: their end is observed late if the engine is polled late.
constexpr double slow_factor = 1.6;
/// Factor by which the window shrinks, at most once per load time. Its product with `slow_factor`
/// must stay below one, or the shortest time would rise from one cycle to the next.
constexpr double shrink_factor = 0.6;
/// Relative increase of the shortest load time with each load, so that a store that has become
/// slower permanently is detected after some thousand loads.
constexpr double shortest_time_growth = 0.0003;
/// Weight of a new sample in the running mean of load times.
constexpr double sample_weight = 0.2;

support::duration scaled(support::duration time, double factor) {
    return std::chrono::duration_cast<support::duration>(time * factor);
}

} // namespace

double load_window::min_loads() const {
    return std::max(1.0, min_per_engine * static_cast<double>(engines_));
}

double load_window::max_loads() const {
    return std::max(1.0, max_per_engine * static_cast<double>(engines_));
}

void load_window::set_engines(std::size_t count) {
    engines_ = std::max<std::size_t>(count, 1);
}

void load_window::on_load_done(support::duration took, support::time_point now) {
    mean_ += scaled(took - mean_, sample_weight);
    shortest_ =
        shortest_ ? std::min(took, *shortest_ + scaled(*shortest_, shortest_time_growth)) : took;
    double loads = loads_.value_or(min_per_engine * static_cast<double>(engines_));
    if (mean_ <= scaled(*shortest_, slow_factor)) {
        loads += 1 / loads;
    } else if (!last_shrink_ || now - *last_shrink_ >= mean_) {
        loads *= shrink_factor;
        last_shrink_ = now;
    }
    loads_ = std::clamp(loads, min_loads(), max_loads());
}

std::size_t load_window::limit() const {
    const double loads = loads_.value_or(min_per_engine * static_cast<double>(engines_));
    return static_cast<std::size_t>(std::floor(std::clamp(loads, min_loads(), max_loads())));
}

} // namespace dragonflystair::fleet
