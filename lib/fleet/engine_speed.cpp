#include "dragonflystair/fleet/engine_speed.h"

#include <algorithm>

namespace dragonflystair::fleet {

namespace {

/// Decay of the older samples' weight with each new sample: the estimate spans about fifty samples,
/// a few seconds of a node's calls.
constexpr double decay_factor = 0.98;

/// Prior before the first sample: a slow engine, so that the first calls are spread over the
/// engines rather than concentrated on one. The prior stays in the regression as two samples of low
/// weight, one without a prompt and one with a long prompt, so that the line is always determined.
constexpr double prior_weight = 0.05;
constexpr double prior_first_event_ms = 30;
constexpr double prior_ms_per_token = 1.0 / 20;
constexpr double prior_tokens = 4'000;

/// Samples are capped at this multiple of their forecast: beyond it they show a queue or a failing
/// engine rather than the engine's speed.
constexpr double max_forecast_ratio = 3;

/// Plausible bounds of the estimates.
constexpr double min_tokens_per_ms = 0.5;
constexpr double max_tokens_per_ms = 1'000;
constexpr double min_first_event_ms = 1;
constexpr double max_first_event_ms = 2'000;

} // namespace

engine_speed::line engine_speed::fitted() const {
    constexpr double prior_ms = prior_first_event_ms + prior_ms_per_token * prior_tokens;
    const double weight = weight_ + 2 * prior_weight;
    const double tokens = tokens_ + prior_weight * prior_tokens;
    const double ms = ms_ + prior_weight * (prior_first_event_ms + prior_ms);
    const double tokens_squared = tokens_squared_ + prior_weight * prior_tokens * prior_tokens;
    const double tokens_ms = tokens_ms_ + prior_weight * prior_tokens * prior_ms;
    const double spread = weight * tokens_squared - tokens * tokens;
    line result;
    result.ms_per_token = std::clamp((weight * tokens_ms - tokens * ms) / spread,
                                     1 / max_tokens_per_ms, 1 / min_tokens_per_ms);
    result.at_zero_ms = std::clamp((ms - result.ms_per_token * tokens) / weight, min_first_event_ms,
                                   max_first_event_ms);
    return result;
}

void engine_speed::on_first_event(std::size_t own_tokens, std::size_t tokens_ahead,
                                  double took_ms) {
    const auto own = static_cast<double>(own_tokens);
    const auto all = own + static_cast<double>(tokens_ahead);
    const auto estimate = fitted();
    const double forecast_ms = estimate.at_zero_ms + estimate.ms_per_token * all;
    const double sample_ms = std::min(took_ms, max_forecast_ratio * forecast_ms);
    // The load that peers have sent is known late, so samples are weighted by the share of their
    // tokens that is known exactly.
    const double weight = all > 0 ? own / all : 1;
    weight_ = weight_ * decay_factor + weight;
    tokens_ = tokens_ * decay_factor + weight * all;
    ms_ = ms_ * decay_factor + weight * sample_ms;
    tokens_squared_ = tokens_squared_ * decay_factor + weight * all * all;
    tokens_ms_ = tokens_ms_ * decay_factor + weight * all * sample_ms;
}

double engine_speed::tokens_per_ms() const {
    return 1 / fitted().ms_per_token;
}

double engine_speed::first_event_ms() const {
    return fitted().at_zero_ms;
}

} // namespace dragonflystair::fleet
