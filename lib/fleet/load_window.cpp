#include "dragonflystair/fleet/load_window.h"

#include <algorithm>
#include <cmath>

namespace dragonflystair::fleet {

namespace {

/// Loads of one engine at once: what an engine takes at most, and what the window starts with and
/// keeps when the store is slow. The deployments' stores serve 1.55 to 2.7 at full speed.
constexpr double most_per_engine = 4;
constexpr double least_per_engine = 1.5;

/// Loads that take this much of the shortest time in the mean show that the store is slowed down.
/// Single ones take longer for other reasons: their end is seen late when the engine is asked late.
constexpr double slow_factor = 1.6;
/// Part of the window that is left after it has shrunk, at most once in the time of a load. Times
/// the factor above it stays below one, or the shortest time would rise from one cycle to the next.
constexpr double shrink_factor = 0.6;
/// The shortest time is forgotten by this part with each load, so that a store that has become
/// slower for good is known as such after some thousand loads.
constexpr double forgotten_part = 0.0003;
/// Weight of a new sample in the running mean of load times.
constexpr double sample_weight = 0.2;

support::duration scaled(support::duration time, double factor) {
    return std::chrono::duration_cast<support::duration>(time * factor);
}

} // namespace

double load_window::lowest() const {
    return std::max(1.0, least_per_engine * static_cast<double>(engines_));
}

double load_window::highest() const {
    return std::max(1.0, most_per_engine * static_cast<double>(engines_));
}

void load_window::set_engines(std::size_t count) {
    engines_ = std::max<std::size_t>(count, 1);
}

void load_window::on_load_done(support::duration took, support::time_point now) {
    mean_ += scaled(took - mean_, sample_weight);
    shortest_ = shortest_ ? std::min(took, *shortest_ + scaled(*shortest_, forgotten_part)) : took;
    double loads = loads_.value_or(least_per_engine * static_cast<double>(engines_));
    if (mean_ <= scaled(*shortest_, slow_factor)) {
        loads += 1 / loads;
    } else if (!shrunk_ || now - *shrunk_ >= mean_) {
        loads *= shrink_factor;
        shrunk_ = now;
    }
    loads_ = std::clamp(loads, lowest(), highest());
}

std::size_t load_window::limit() const {
    const double loads = loads_.value_or(least_per_engine * static_cast<double>(engines_));
    return static_cast<std::size_t>(std::floor(std::clamp(loads, lowest(), highest())));
}

} // namespace dragonflystair::fleet
