#include "dragonflystair/policy/hedger.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace dragonflystair::policy {

namespace {

/// Relative step of the quantile estimate per sample.
constexpr double learning_rate = 0.05;
/// An endpoint below this weight may be slow itself.
constexpr double min_hedge_health = 0.5;

bool can_take_hedge(const route_candidate& candidate) {
    return candidate.resident && !candidate.suspected && candidate.health >= min_hedge_health &&
           candidate.running + candidate.queued + candidate.own_in_flight < candidate.batch_limit;
}

} // namespace

void hedger::on_request() {
    budget_ = std::min(limits_.burst, budget_ + limits_.share);
}

void hedger::on_progress(bool first, support::duration waited) {
    auto& estimate = first ? first_token_ : between_tokens_;
    // Stays level on average when the share `quantile` of the samples is below the estimate.
    estimate *= waited > estimate ? 1 + learning_rate * limits_.quantile
                                  : 1 - learning_rate * (1 - limits_.quantile);
}

bool hedger::due(const in_flight_request& req, support::time_point now) const {
    if (req.work != work_class::short_work || !req.idempotent || req.hedged) {
        return false;
    }
    // A second copy of a crash suspect could crash a second endpoint.
    if (req.isolated || req.suspected != suspicion::clear) {
        return false;
    }
    const auto& typical = req.started ? between_tokens_ : first_token_;
    // The tolerance allows for rounding: sums of 0.02 are inexact in binary floating point.
    return now - req.progress > typical * limits_.margin && budget_ >= 1 - 1e-9;
}

std::optional<std::string> hedger::decide(const in_flight_request& req,
                                          std::span<const route_candidate> candidates,
                                          support::time_point now, std::mt19937_64& random) {
    if (!due(req, now)) {
        return std::nullopt;
    }
    std::vector<route_candidate> available;
    std::ranges::copy_if(candidates, std::back_inserter(available), can_take_hedge);
    const auto chosen = router_.choose(req.adapter, available, req.tried, random);
    if (!chosen) {
        return std::nullopt;
    }
    budget_ -= 1;
    return chosen->endpoint;
}

} // namespace dragonflystair::policy
