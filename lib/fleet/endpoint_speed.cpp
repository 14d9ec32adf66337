#include "dragonflystair/fleet/endpoint_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflystair::fleet {

using support::duration;
using support::time_point;

namespace {

/// Bounds of one sample. Beyond them it shows a queue or a failure rather than a speed.
constexpr double max_relative_time = 4;
/// Bounds of an estimate: endpoints of one service differ at most about twofold from their mean.
constexpr double max_slowness = 2.5;

/// Decay of older samples with each new one: the estimate spans about twenty samples, so it follows
/// a change of speed within some seconds of a node's calls.
constexpr double decay_per_sample = 0.95;
/// Time constant with which samples lose weight. Without new ones an endpoint is treated as a mean
/// one again after about half a minute.
constexpr std::chrono::duration<double> lifetime{10.0};

/// Weight, in samples, of the assumption that an endpoint has the mean speed, and the standard
/// deviation of the logarithm of speeds within a service under it: twofold differences.
constexpr double prior_weight = 3;
constexpr double prior_deviation = 0.35;

/// Remaining weight of samples after that time.
double remaining(duration age) {
    return std::exp(-std::max(std::chrono::duration<double>(age) / lifetime, 0.0));
}

} // namespace

void endpoint_speed::on_sample(std::string_view endpoint, double relative_time, time_point now) {
    if (!(relative_time > 0)) {
        return;
    }
    auto found = records_.find(endpoint);
    if (found == records_.end()) {
        found = records_.emplace(std::string(endpoint), record{0, 0, 0, now}).first;
    }
    auto& entry = found->second;
    const double logarithm =
        std::log(std::clamp(relative_time, 1 / max_relative_time, max_relative_time));
    const double kept = decay_per_sample * remaining(now - entry.updated);
    entry.weight = entry.weight * kept + 1;
    entry.sum = entry.sum * kept + logarithm;
    entry.squares = entry.squares * kept + logarithm * logarithm;
    entry.updated = now;
}

void endpoint_speed::forget(std::string_view endpoint) {
    if (const auto found = records_.find(endpoint); found != records_.end()) {
        records_.erase(found);
    }
}

endpoint_speed::estimate endpoint_speed::of(std::string_view endpoint, time_point now) const {
    const auto found = records_.find(endpoint);
    if (found == records_.end()) {
        return {1, prior_deviation};
    }
    const auto& entry = found->second;
    const double kept = remaining(now - entry.updated);
    const double weight = entry.weight * kept + prior_weight;
    const double mean = entry.sum * kept / weight;
    const double squares =
        (entry.squares * kept + prior_weight * prior_deviation * prior_deviation) / weight;
    const double variance = std::max(squares - mean * mean, 0.0);
    return {std::clamp(std::exp(mean), 1 / max_slowness, max_slowness),
            std::sqrt(variance * prior_weight / weight)};
}

} // namespace dragonflystair::fleet
