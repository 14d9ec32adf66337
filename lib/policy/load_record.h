#pragma once

#include "dragonflystair/support/time.h"

#include <algorithm>
#include <chrono>

namespace dragonflystair::policy {

/// Steps from the need of an adapter to the order to load it.
enum class load_phase { idle, wanted, granted, ordered };

/// The load of one adapter on one endpoint, with its retries.
struct load_record {
    /// Longest wait before a failed load is tried again.
    static constexpr std::chrono::seconds longest_retry{8};
    /// The waiters are refused after this many failures in a row.
    static constexpr int most_failures = 3;

    load_phase phase = load_phase::idle;
    int failures = 0;
    support::time_point not_before;
    support::time_point wanted_since;
    support::time_point renewed;
    support::time_point granted_at;
    support::time_point ordered_at;
    double prefetch_urgency = 0;
    bool stale = false; ///< The engine has restarted since the order.

    void on_failure(std::chrono::milliseconds first_retry, support::time_point now) {
        ++failures;
        support::duration wait = first_retry;
        for (int i = 1; i < failures && wait < longest_retry; ++i) {
            wait *= 2;
        }
        not_before = now + std::min<support::duration>(wait, longest_retry);
        if (failures >= most_failures) {
            prefetch_urgency = 0;
        }
    }

    /// Whether a new request has to be refused until the next try.
    [[nodiscard]] bool hopeless(support::time_point now) const {
        return failures >= most_failures && now < not_before;
    }
};

} // namespace dragonflystair::policy
