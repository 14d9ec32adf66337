#pragma once

#include <cstddef>

namespace dragonflystair::fleet {

/// Estimates the prefill throughput and the base latency of the engines of one service from the
/// time between the dispatch of a call and its first event. That time grows with the prompt tokens
/// that the engine has to prefill up to and including the call's own, so both estimates come from a
/// weighted linear regression. Has no clock and does no I/O.
class engine_speed {
public:
    /// Adds a sample. `own_tokens` are the tokens of the call's prompt that the engine had to
    /// prefill, `tokens_ahead` those of other calls without a first event at its dispatch.
    void on_first_event(std::size_t own_tokens, std::size_t tokens_ahead, double took_ms);

    /// Returns the prefill throughput of an engine.
    [[nodiscard]] double tokens_per_ms() const;
    /// Returns the time to the first event of a call that needs no prefill.
    [[nodiscard]] double first_event_ms() const;
    /// Returns the prefill time of that number of tokens.
    [[nodiscard]] double prefill_ms(double tokens) const { return tokens / tokens_per_ms(); }

private:
    struct line {
        double at_zero_ms = 0;
        double ms_per_token = 0;
    };
    [[nodiscard]] line fitted() const;

    /// Weighted sums over the samples, with exponential decay.
    double weight_ = 0;
    double tokens_ = 0;
    double ms_ = 0;
    double tokens_squared_ = 0;
    double tokens_ms_ = 0;
};

} // namespace dragonflystair::fleet
