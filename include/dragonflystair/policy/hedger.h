#pragma once

#include "dragonflystair/policy/crash_suspects.h"
#include "dragonflystair/policy/router.h"

#include <chrono>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

struct hedge_limits {
    double share = 0.02; ///< Maximum number of hedges as a share of requests.
    double burst = 4;    ///< Maximum of unused hedges that accumulate; the budget starts empty.
    /// Quantile of the measured latencies that the time limit is derived from.
    double quantile = 0.95;
    /// Factor on the quantile. A busy batch alone doubles the duration of a decoding step.
    double margin = 2;
};

/// State of a request in flight, as tracked by its entry node.
struct in_flight_request {
    std::string_view adapter;
    work_class work = work_class::short_work;
    bool idempotent = false;
    bool isolated = false; ///< Runs in isolation, as a crash suspect.
    suspicion suspected = suspicion::clear;
    bool hedged = false;          ///< A second copy was sent already.
    bool started = false;         ///< The first token has arrived.
    support::time_point progress; ///< Time of the last token, or of dispatch if there is none.
    std::span<const std::string> tried; ///< Endpoints that the request was sent to.
};

/// Decides whether an entry node sends a second copy of a request that makes no progress. The first
/// answer is used; the owner of the hedger cancels the other copy. Deterministic but for the random
/// source.
class hedger {
public:
    explicit hedger(hedge_limits limits) : limits_(limits) {}

    /// Records a dispatched request, which adds `share` to the hedge budget.
    void on_request();

    /// Records the time until the first token (`first`), or between two tokens.
    void on_progress(bool first, support::duration waited);

    /// Returns whether a second copy is due, regardless of a suitable endpoint. Cheap enough to be
    /// polled.
    [[nodiscard]] bool due(const in_flight_request& req, support::time_point now) const;

    /// Returns the endpoint for a second copy if one is due, and takes a hedge from the budget. The
    /// endpoint has the adapter resident and room in its batch, so that hedges do not lengthen
    /// queues.
    std::optional<std::string> decide(const in_flight_request& req,
                                      std::span<const route_candidate> candidates,
                                      support::time_point now, std::mt19937_64& random);

private:
    hedge_limits limits_;
    router router_{router_limits{}};
    double budget_ = 0;
    /// Running estimates of the quantile. The initial values are above the latency of an endpoint
    /// at normal speed, so that nothing is hedged before latencies have been measured.
    std::chrono::duration<double> first_token_{1.0};
    std::chrono::duration<double> between_tokens_{0.1};
};

} // namespace dragonflystair::policy
