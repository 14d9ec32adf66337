#include "dragonflystair/policy/endpoint_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace dragonflystair::policy {

namespace {

/// Weight of one sample; three slow samples in a row move the estimate by more than half.
constexpr double sample_weight = 0.3;
/// A failed request counts as one that took this many times the expected latency.
constexpr double failure_relative_latency = 10;
/// Time constant with which the slowness decays without samples, so that the endpoint gets requests
/// again. At 5 s, each entry node would retry a slow endpoint every few seconds, and with two slow
/// endpoints these requests would make up most of the tail latency.
constexpr std::chrono::duration<double> recovery_time_constant{10.0};
/// Latencies up to this factor above the peers' median are normal variation of batching.
constexpr double latency_tolerance = 1.5;
/// Keeps some requests going to a slow endpoint, so that its recovery is measured.
constexpr double min_weight = 0.02;

} // namespace

void endpoint_health::on_sample(std::string_view endpoint, double relative_latency,
                                support::time_point now) {
    auto it = records_.find(endpoint);
    if (it == records_.end()) {
        it = records_.emplace(std::string(endpoint), record{1, now}).first;
    }
    auto& entry = it->second;
    entry.slowness +=
        sample_weight * (std::min(relative_latency, failure_relative_latency) - entry.slowness);
    entry.updated = now;
    update_median();
}

void endpoint_health::on_failure(std::string_view endpoint, support::time_point now) {
    on_sample(endpoint, failure_relative_latency, now);
}

double endpoint_health::weight(std::string_view endpoint, support::time_point now) const {
    const auto it = records_.find(endpoint);
    if (it == records_.end()) {
        return 1;
    }
    const auto& entry = it->second;
    const double decay =
        std::exp(-std::chrono::duration<double>(now - entry.updated) / recovery_time_constant);
    const double slowness = 1 + (entry.slowness - 1) * decay;
    const double relative = slowness / (median_slowness_ * latency_tolerance);
    return std::clamp(1 / (relative * relative), min_weight, 1.0);
}

void endpoint_health::erase(std::string_view endpoint) {
    const auto it = records_.find(endpoint);
    if (it != records_.end()) {
        records_.erase(it);
        update_median();
    }
}

void endpoint_health::update_median() {
    std::vector<double> values;
    values.reserve(records_.size());
    for (const auto& [name, entry] : records_) {
        values.push_back(entry.slowness);
    }
    // With fewer than three endpoints the slow endpoint itself can be the median.
    if (values.size() < 3) {
        median_slowness_ = 1;
        return;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    median_slowness_ = std::max(*middle, 0.1);
}

} // namespace dragonflystair::policy
