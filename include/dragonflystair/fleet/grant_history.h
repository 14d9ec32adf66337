#pragma once

#include "dragonflystair/support/time.h"

#include <deque>

namespace dragonflystair::fleet {

/// Tokens that an allocator has granted to all nodes within a time. Grants of the same time are
/// summed, so the work grows with the number of rounds of grants and not with that of the nodes.
class grant_history {
public:
    explicit grant_history(support::duration kept) : kept_(kept) {}

    void add(support::time_point at, double amount);
    /// Removes tokens that were granted at `since` or later and can no longer be used, those
    /// granted first before others: a window then never seems to hold less than it does.
    void remove(support::time_point since, double amount);
    /// Forgets what was granted before the time that is kept.
    void expire(support::time_point now);
    void clear() { grants_.clear(); }

    [[nodiscard]] double sum_since(support::time_point from) const;
    /// Returns the level of a token bucket of `capacity` and `rate` tokens per second that was full
    /// before the kept time and from which the grants have been taken; negative if they exceeded
    /// it.
    [[nodiscard]] double level(double capacity, double rate, support::time_point now) const;

private:
    struct grant {
        support::time_point at;
        double amount = 0;
    };

    support::duration kept_;
    std::deque<grant> grants_; ///< Oldest first.
};

} // namespace dragonflystair::fleet
