#include "dragonflystair/fleet/engine_speed.h"

#include <algorithm>

namespace dragonflystair::fleet {

namespace {

/// Part of the older samples' weight that is left after each new one: some fifty samples count, a
/// few seconds of a node's calls.
constexpr double kept_part = 0.98;

/// Belief before the first sample: a slow engine, so that the first calls are spread rather than
/// heaped up. It stays as a light sample without a prompt and one with a long prompt, so that the
/// line is defined whatever the samples are.
constexpr double prior_weight = 0.05;
constexpr double prior_first_event_ms = 30;
constexpr double prior_ms_per_token = 1.0 / 20;
constexpr double prior_tokens = 4'000;

/// A sample beyond this multiple of its forecast tells of a queue or a failing engine, not of
/// speed.
constexpr double most_of_forecast = 3;

/// Bounds of what an engine can be, in tokens per ms and ms.
constexpr double slowest_tokens_per_ms = 0.5;
constexpr double fastest_tokens_per_ms = 1'000;
constexpr double least_first_event_ms = 1;
constexpr double longest_first_event_ms = 2'000;

} // namespace

engine_speed::line engine_speed::fitted() const {
    constexpr double prior_ms = prior_first_event_ms + prior_ms_per_token * prior_tokens;
    const double weight = weight_ + 2 * prior_weight;
    const double tokens = tokens_ + prior_weight * prior_tokens;
    const double ms = ms_ + prior_weight * (prior_first_event_ms + prior_ms);
    const double tokens_squared = tokens_squared_ + prior_weight * prior_tokens * prior_tokens;
    const double tokens_ms = tokens_ms_ + prior_weight * prior_tokens * prior_ms;
    const double spread = weight * tokens_squared - tokens * tokens;
    line out;
    out.ms_per_token = std::clamp((weight * tokens_ms - tokens * ms) / spread,
                                  1 / fastest_tokens_per_ms, 1 / slowest_tokens_per_ms);
    out.at_zero_ms = std::clamp((ms - out.ms_per_token * tokens) / weight, least_first_event_ms,
                                longest_first_event_ms);
    return out;
}

void engine_speed::on_first_event(std::size_t own_tokens, std::size_t tokens_ahead,
                                  double took_ms) {
    const auto own = static_cast<double>(own_tokens);
    const auto all = own + static_cast<double>(tokens_ahead);
    const auto now = fitted();
    const double forecast_ms = now.at_zero_ms + now.ms_per_token * all;
    const double sample_ms = std::min(took_ms, most_of_forecast * forecast_ms);
    // What peers have sent is known late, so that samples count by the part that is known exactly.
    const double weight = all > 0 ? own / all : 1;
    weight_ = weight_ * kept_part + weight;
    tokens_ = tokens_ * kept_part + weight * all;
    ms_ = ms_ * kept_part + weight * sample_ms;
    tokens_squared_ = tokens_squared_ * kept_part + weight * all * all;
    tokens_ms_ = tokens_ms_ * kept_part + weight * all * sample_ms;
}

double engine_speed::tokens_per_ms() const {
    return 1 / fitted().ms_per_token;
}

double engine_speed::first_event_ms() const {
    return fitted().at_zero_ms;
}

} // namespace dragonflystair::fleet
