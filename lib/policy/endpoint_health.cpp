#include "dragonflystair/policy/endpoint_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace dragonflystair::policy {

namespace {

/// Weight of one sample; three slow samples in a row move the estimate by more than half.
constexpr double sample_weight = 0.3;
/// A failed call counts as one that took this many times as long as expected.
constexpr double failure_latency = 10;
/// Without samples the slowness decays with this time constant, so that the endpoint is tried
/// again. With 5 s each entry node sent work to a slow endpoint again every few seconds, and these
/// requests were most of the tail while two endpoints were slow.
constexpr std::chrono::duration<double> recovery{10.0};
/// Up to this factor over the peers' median is noise of batching, not slowness.
constexpr double tolerance = 1.5;
/// Keeps some traffic as probes.
constexpr double lowest_weight = 0.02;

} // namespace

void endpoint_health::on_sample(std::string_view endpoint, double relative_latency,
                                support::time_point now) {
    auto place = records_.find(endpoint);
    if (place == records_.end()) {
        place = records_.emplace(std::string(endpoint), record{1, now}).first;
    }
    auto& known = place->second;
    known.slowness +=
        sample_weight * (std::min(relative_latency, failure_latency) - known.slowness);
    known.updated = now;
    update_median();
}

void endpoint_health::on_failure(std::string_view endpoint, support::time_point now) {
    on_sample(endpoint, failure_latency, now);
}

double endpoint_health::weight(std::string_view endpoint, support::time_point now) const {
    const auto place = records_.find(endpoint);
    if (place == records_.end()) {
        return 1;
    }
    const auto& known = place->second;
    const double age = std::exp(-std::chrono::duration<double>(now - known.updated) / recovery);
    const double slowness = 1 + (known.slowness - 1) * age;
    const double relative = slowness / (median_slowness_ * tolerance);
    return std::clamp(1 / (relative * relative), lowest_weight, 1.0);
}

void endpoint_health::forget(std::string_view endpoint) {
    const auto place = records_.find(endpoint);
    if (place != records_.end()) {
        records_.erase(place);
        update_median();
    }
}

void endpoint_health::update_median() {
    std::vector<double> values;
    values.reserve(records_.size());
    for (const auto& [name, known] : records_) {
        values.push_back(known.slowness);
    }
    // With one or two endpoints the median is the slow one itself.
    if (values.size() < 3) {
        median_slowness_ = 1;
        return;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    median_slowness_ = std::max(*middle, 0.1);
}

} // namespace dragonflystair::policy
