#pragma once

#include "dragonflystair/support/time.h"

#include <algorithm>
#include <chrono>

namespace dragonflystair::policy {

/// Progress of a load, from the first need for the adapter to the order to the engine.
enum class load_phase { idle, requested, granted, ordered };

/// State of the load of one adapter on one endpoint, including its retries.
struct load_record {
    /// Maximum delay before a failed load is retried.
    static constexpr std::chrono::seconds max_retry_delay{8};
    /// Queued requests are refused after this many consecutive failures.
    static constexpr int max_failures = 3;

    load_phase phase = load_phase::idle;
    int failures = 0;
    support::time_point not_before;
    support::time_point requested_at;
    support::time_point renewed;
    support::time_point granted_at;
    support::time_point ordered_at;
    double prefetch_urgency = 0;
    bool stale = false; ///< The engine has restarted since the order was sent.

    void on_failure(std::chrono::milliseconds initial_delay, support::time_point now) {
        ++failures;
        support::duration delay = initial_delay;
        for (int i = 1; i < failures && delay < max_retry_delay; ++i) {
            delay *= 2;
        }
        not_before = now + std::min<support::duration>(delay, max_retry_delay);
        if (failures >= max_failures) {
            prefetch_urgency = 0;
        }
    }

    /// Returns whether loads are suspended after repeated failures. New requests for the adapter
    /// are refused until the next retry.
    [[nodiscard]] bool suspended(support::time_point now) const {
        return failures >= max_failures && now < not_before;
    }
};

} // namespace dragonflystair::policy
