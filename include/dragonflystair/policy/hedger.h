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
    double share = 0.02; ///< Hedges as a share of requests (section 12 of the design page).
    double burst = 4;    ///< Hedges that are saved up for a slowdown; none are there at the start.
    double quantile = 0.95;
    double margin = 2; ///< Times the quantile; a busy batch alone doubles the time of a step.
};

/// A request in flight as its entry node knows it.
struct in_flight_request {
    std::string_view adapter;
    work_class work = work_class::short_work;
    bool idempotent = false;
    bool isolated = false; ///< It runs alone because it is a crash suspect.
    suspicion suspected = suspicion::clear;
    bool hedged = false;                ///< A second copy was sent already.
    bool started = false;               ///< The first token has arrived.
    support::time_point progress;       ///< Last token, or when it was sent if there is none.
    std::span<const std::string> tried; ///< Endpoints that it was sent to.
};

/// Decides on an entry node whether a request without progress is sent a second time. The first
/// answer wins; the caller of this class cancels the other copy. Pure but for the random source.
class hedger {
public:
    explicit hedger(hedge_limits limits) : limits_(limits) {}

    /// A request was sent; it earns its share of a hedge.
    void on_request();

    /// A token arrived this long after the request was sent (`first`) or after the token before.
    void on_progress(bool first, support::duration waited);

    /// Whether a second copy is due; cheap, so that it can be asked often.
    [[nodiscard]] bool due(const in_flight_request& subject, support::time_point now) const;

    /// Endpoint for a second copy if one is due, for which a hedge is then taken from the budget.
    /// It has the adapter resident and a free place in the batch, so that hedges do not deepen a
    /// queue.
    std::optional<std::string> decide(const in_flight_request& subject,
                                      std::span<const route_candidate> candidates,
                                      support::time_point now, std::mt19937_64& random);

private:
    hedge_limits limits_;
    router router_{router_limits{}};
    double saved_ = 0;
    /// Learned quantiles. They start above what an endpoint at its usual speed takes, so that
    /// nothing is hedged before peers were measured.
    std::chrono::duration<double> first_token_{1.0};
    std::chrono::duration<double> between_tokens_{0.1};
};

} // namespace dragonflystair::policy
