#include "service_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflystair::policy {

namespace {

/// Follows a slowdown within some ten requests.
constexpr double sample_weight = 0.1;

void follow(double& average, double sample) {
    average = average == 0 ? sample : average + sample_weight * (sample - average);
}

support::duration to_duration(double seconds) {
    return std::chrono::duration_cast<support::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void service_estimate::on_finished(work_class lane, std::string_view adapter,
                                   support::duration taken, std::size_t tokens) {
    auto& known = lane == work_class::short_work ? short_ : long_;
    const double seconds = std::chrono::duration<double>(taken).count();
    follow(known.deviation, std::abs(seconds - (known.seconds == 0 ? seconds : known.seconds)));
    follow(known.seconds, seconds);
    if (tokens == 0) {
        return;
    }
    follow(known.seconds_per_token, seconds / static_cast<double>(tokens));
    follow(tokens_.try_emplace(std::string(adapter), 0).first->second, static_cast<double>(tokens));
}

support::duration service_estimate::service(work_class lane, double expected_tokens) const {
    const auto& known = of(lane);
    if (expected_tokens > 0 && known.seconds_per_token > 0) {
        return to_duration(expected_tokens * known.seconds_per_token);
    }
    return to_duration(known.seconds);
}

support::duration service_estimate::service_with_spread(work_class lane, double expected_tokens,
                                                        double spreads) const {
    const auto& known = of(lane);
    const double spread = known.seconds > 0 ? known.deviation / known.seconds : 0;
    // The length is known for a request that states it, which leaves about half of the spread.
    const double factor = 1 + spreads * (expected_tokens > 0 ? spread / 2 : spread);
    const auto expected = std::chrono::duration<double>(service(lane, expected_tokens));
    return to_duration(expected.count() * std::max(0.0, factor));
}

double service_estimate::learned_tokens(std::string_view adapter) const {
    const auto known = tokens_.find(adapter);
    return known == tokens_.end() ? 0 : known->second;
}

const service_estimate::lane_record& service_estimate::of(work_class lane) const {
    return lane == work_class::short_work ? short_ : long_;
}

} // namespace dragonflystair::policy
