#include "dragonflystair/policy/hedger.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace dragonflystair::policy {

namespace {

/// Relative step of the quantile estimate for one sample.
constexpr double learning_rate = 0.05;
/// Below this weight an endpoint may be slow itself.
constexpr double healthy_enough = 0.5;

bool has_room(const route_candidate& candidate) {
    return candidate.resident && !candidate.suspected && candidate.health >= healthy_enough &&
           candidate.running + candidate.queued + candidate.own_in_flight < candidate.batch_limit;
}

} // namespace

void hedger::on_request() {
    saved_ = std::min(limits_.burst, saved_ + limits_.share);
}

void hedger::on_progress(bool first, support::duration waited) {
    auto& known = first ? first_token_ : between_tokens_;
    // In balance when the share `quantile` of samples is below the estimate.
    known *= waited > known ? 1 + learning_rate * limits_.quantile
                            : 1 - learning_rate * (1 - limits_.quantile);
}

bool hedger::due(const in_flight_request& subject, support::time_point now) const {
    if (subject.work != work_class::short_work || !subject.idempotent || subject.hedged) {
        return false;
    }
    // A second copy of a crash suspect could crash a second endpoint.
    if (subject.isolated || subject.suspected != suspicion::clear) {
        return false;
    }
    const auto& usual = subject.started ? between_tokens_ : first_token_;
    // Sums of 0.02 are inexact in binary.
    return now - subject.progress > usual * limits_.margin && saved_ >= 1 - 1e-9;
}

std::optional<std::string> hedger::decide(const in_flight_request& subject,
                                          std::span<const route_candidate> candidates,
                                          support::time_point now, std::mt19937_64& random) {
    if (!due(subject, now)) {
        return std::nullopt;
    }
    std::vector<route_candidate> free;
    std::ranges::copy_if(candidates, std::back_inserter(free), has_room);
    const auto chosen = router_.choose(subject.adapter, free, subject.tried, random);
    if (!chosen) {
        return std::nullopt;
    }
    saved_ -= 1;
    return chosen->endpoint;
}

} // namespace dragonflystair::policy
