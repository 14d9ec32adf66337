#include "service_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflystair::policy {

namespace {

/// Adapts to a slowdown within about ten requests.
constexpr double sample_weight = 0.1;
/// Half-life of an estimate without new samples; at least two service times.
constexpr double min_half_life_seconds = 2;

void update_average(double& average, double sample) {
    average = average == 0 ? sample : average + sample_weight * (sample - average);
}

support::duration to_duration(double seconds) {
    return std::chrono::duration_cast<support::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void service_estimate::on_finished(work_class lane, std::string_view adapter,
                                   support::duration elapsed, std::size_t tokens,
                                   support::time_point now) {
    auto& record = lane == work_class::short_work ? short_ : long_;
    const double decay = freshness(record, now);
    record.seconds *= decay;
    record.deviation *= decay;
    record.seconds_per_token *= decay;
    record.updated = now;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double difference = record.seconds == 0 ? 0 : std::abs(seconds - record.seconds);
    record.deviation += sample_weight * (difference - record.deviation);
    update_average(record.seconds, seconds);
    if (tokens == 0) {
        return;
    }
    update_average(record.seconds_per_token, seconds / static_cast<double>(tokens));
    update_average(tokens_.try_emplace(std::string(adapter), 0).first->second,
                   static_cast<double>(tokens));
}

/// Returns the factor by which an estimate has decayed; 1 until the first half-life has passed.
double service_estimate::freshness(const lane_record& record, support::time_point now) {
    const double age = std::chrono::duration<double>(now - record.updated).count();
    const double half_life = std::max(min_half_life_seconds, 2 * record.seconds);
    return std::exp2(-std::max(0.0, age / half_life - 1));
}

support::duration service_estimate::service(work_class lane, double expected_tokens,
                                            support::time_point now) const {
    const auto& record = record_of(lane);
    const double decay = freshness(record, now);
    if (expected_tokens > 0 && record.seconds_per_token > 0) {
        return to_duration(expected_tokens * record.seconds_per_token * decay);
    }
    return to_duration(record.seconds * decay);
}

support::duration service_estimate::service_with_margin(work_class lane, double expected_tokens,
                                                        double deviations,
                                                        support::time_point now) const {
    const auto& record = record_of(lane);
    const double relative_deviation = record.seconds > 0 ? record.deviation / record.seconds : 0;
    // The answer length is known if the request states it, which leaves about half of the
    // deviation.
    const double factor =
        1 + deviations * (expected_tokens > 0 ? relative_deviation / 2 : relative_deviation);
    const auto expected = std::chrono::duration<double>(service(lane, expected_tokens, now));
    return to_duration(expected.count() * std::max(0.0, factor));
}

double service_estimate::learned_tokens(std::string_view adapter) const {
    const auto record = tokens_.find(adapter);
    return record == tokens_.end() ? 0 : record->second;
}

const service_estimate::lane_record& service_estimate::record_of(work_class lane) const {
    return lane == work_class::short_work ? short_ : long_;
}

} // namespace dragonflystair::policy
