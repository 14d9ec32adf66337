#include "service_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflystair::policy {

namespace {

/// Follows a slowdown within some ten requests.
constexpr double sample_weight = 0.1;
/// An estimate halves in each such time without samples, or in two service times if that is more.
constexpr double half_life_seconds = 2;

void follow(double& average, double sample) {
    average = average == 0 ? sample : average + sample_weight * (sample - average);
}

support::duration to_duration(double seconds) {
    return std::chrono::duration_cast<support::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void service_estimate::on_finished(work_class lane, std::string_view adapter,
                                   support::duration taken, std::size_t tokens,
                                   support::time_point now) {
    auto& known = lane == work_class::short_work ? short_ : long_;
    const double left = freshness(known, now);
    known.seconds *= left;
    known.deviation *= left;
    known.seconds_per_token *= left;
    known.updated = now;
    const double seconds = std::chrono::duration<double>(taken).count();
    const double difference = known.seconds == 0 ? 0 : std::abs(seconds - known.seconds);
    known.deviation += sample_weight * (difference - known.deviation);
    follow(known.seconds, seconds);
    if (tokens == 0) {
        return;
    }
    follow(known.seconds_per_token, seconds / static_cast<double>(tokens));
    follow(tokens_.try_emplace(std::string(adapter), 0).first->second, static_cast<double>(tokens));
}

/// Part of an estimate that is left; all of it until the first half-life has passed.
double service_estimate::freshness(const lane_record& known, support::time_point now) {
    const double age = std::chrono::duration<double>(now - known.updated).count();
    const double half_life = std::max(half_life_seconds, 2 * known.seconds);
    return std::exp2(-std::max(0.0, age / half_life - 1));
}

support::duration service_estimate::service(work_class lane, double expected_tokens,
                                            support::time_point now) const {
    const auto& known = of(lane);
    const double left = freshness(known, now);
    if (expected_tokens > 0 && known.seconds_per_token > 0) {
        return to_duration(expected_tokens * known.seconds_per_token * left);
    }
    return to_duration(known.seconds * left);
}

support::duration service_estimate::service_with_spread(work_class lane, double expected_tokens,
                                                        double spreads,
                                                        support::time_point now) const {
    const auto& known = of(lane);
    const double spread = known.seconds > 0 ? known.deviation / known.seconds : 0;
    // The length is known for a request that states it, which leaves about half of the spread.
    const double factor = 1 + spreads * (expected_tokens > 0 ? spread / 2 : spread);
    const auto expected = std::chrono::duration<double>(service(lane, expected_tokens, now));
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
