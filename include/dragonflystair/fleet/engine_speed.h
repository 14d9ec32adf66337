#pragma once

#include <cstddef>

namespace dragonflystair::fleet {

/// How fast the engines of one service begin generations, learned from the time between sending a
/// call and its first event. That time grows with the prompt tokens which an engine has to read up
/// to and including the call's own, so both figures come from a weighted regression line. Pure.
class engine_speed {
public:
    /// One generation began. `own_tokens` are those of its prompt that the engine had to read,
    /// `tokens_ahead` those of other calls that had not begun when it was sent.
    void on_first_event(std::size_t own_tokens, std::size_t tokens_ahead, double took_ms);

    /// Prompt tokens that an engine reads in a millisecond.
    [[nodiscard]] double tokens_per_ms() const;
    /// Milliseconds to the first event of a call whose prompt need not be read.
    [[nodiscard]] double first_event_ms() const;
    /// Milliseconds that an engine takes to read so many tokens.
    [[nodiscard]] double prefill_ms(double tokens) const { return tokens / tokens_per_ms(); }

private:
    struct line {
        double at_zero_ms = 0;
        double ms_per_token = 0;
    };
    [[nodiscard]] line fitted() const;

    /// Weighted sums over the samples, older ones counting less.
    double weight_ = 0;
    double tokens_ = 0;
    double ms_ = 0;
    double tokens_squared_ = 0;
    double tokens_ms_ = 0;
};

} // namespace dragonflystair::fleet
