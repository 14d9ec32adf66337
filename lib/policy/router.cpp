#include "dragonflystair/policy/router.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;
using pool = std::vector<const route_candidate*>;

/// An endpoint below this weight is too slow to be chosen for a load.
constexpr double min_load_health = 0.3;

/// Service time assumed in the cost. Without it an idle endpoint would cost nothing, however slow
/// it is. 100 ms is less than any real service time; a larger value does not improve routing.
constexpr milliseconds assumed_service_time{100};

struct scored_candidate {
    const route_candidate* candidate = nullptr;
    milliseconds cost{0};
};

/// Returns the cost of a candidate: expected wait, including the load that this node has added
/// since the last report, and the penalty for another region.
milliseconds cost_of(const route_candidate& candidate, const router_limits& limits) {
    const double batch = static_cast<double>(std::max<std::size_t>(candidate.batch_limit, 1));
    const double in_batch =
        static_cast<double>(candidate.running + candidate.queued + candidate.own_in_flight) / batch;
    // A batch that is nearly full may be full when the request arrives, so the penalty grows with
    // the square of its fill level and is 50 ms for a full batch. A penalty of 100 ms would send
    // more requests to other regions without lowering the p99 of short requests.
    const milliseconds busy{in_batch * in_batch * 50};
    const auto wait = milliseconds(candidate.expected_wait) + busy + assumed_service_time;
    const auto link = candidate.same_region ? milliseconds{0} : limits.cross_region_penalty;
    return wait / std::max(candidate.health, 0.01) + link;
}

scored_candidate cheaper(const scored_candidate& left, const scored_candidate& right) {
    if (left.candidate == nullptr) {
        return right;
    }
    return right.candidate != nullptr && right.cost < left.cost ? right : left;
}

/// Power of two choices: comparing only two random candidates keeps entry nodes with the same stale
/// report from all choosing the same endpoint.
scored_candidate cheaper_of_random_two(const pool& candidates, const router_limits& limits,
                                       std::mt19937_64& random) {
    if (candidates.empty()) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> first_index(0, candidates.size() - 1);
    const auto first = first_index(random);
    if (candidates.size() == 1) {
        return {candidates[0], cost_of(*candidates[0], limits)};
    }
    std::uniform_int_distribution<std::size_t> offset(1, candidates.size() - 1);
    const auto second = (first + offset(random)) % candidates.size();
    return cheaper({candidates[first], cost_of(*candidates[first], limits)},
                   {candidates[second], cost_of(*candidates[second], limits)});
}

struct residents {
    pool same_region;
    pool other_region;
};

residents resident_candidates(const pool& usable) {
    residents found;
    for (const auto* candidate : usable) {
        if (candidate->resident) {
            (candidate->same_region ? found.same_region : found.other_region).push_back(candidate);
        }
    }
    return found;
}

scored_candidate cheapest(const pool& candidates, const router_limits& limits) {
    scored_candidate best;
    for (const auto* candidate : candidates) {
        best = cheaper(best, {candidate, cost_of(*candidate, limits)});
    }
    return best;
}

/// Returns the first candidate in rendezvous order for the adapter, so that all entry nodes choose
/// the same endpoint and the adapter is loaded once for all of them. Endpoints of another region
/// rank after those of the same region.
scored_candidate load_target(std::string_view adapter, const pool& usable,
                             const router_limits& limits) {
    const route_candidate* chosen = nullptr;
    const auto rank = [&](const route_candidate& candidate) {
        return std::tuple(candidate.health >= min_load_health, candidate.same_region,
                          support::rendezvous_weight(adapter, candidate.endpoint));
    };
    for (const auto* candidate : usable) {
        if (!candidate->resident && (chosen == nullptr || rank(*candidate) > rank(*chosen))) {
            chosen = candidate;
        }
    }
    if (chosen == nullptr) {
        return {};
    }
    return {chosen, cost_of(*chosen, limits) + milliseconds(limits.load_time)};
}

pool usable_candidates(std::span<const route_candidate> candidates,
                       std::span<const std::string> excluded, bool suspected) {
    pool usable;
    for (const auto& candidate : candidates) {
        const bool tried = std::ranges::find(excluded, candidate.endpoint) != excluded.end();
        if (!tried && candidate.suspected == suspected) {
            usable.push_back(&candidate);
        }
    }
    return usable;
}

} // namespace

std::optional<route> router::choose(std::string_view adapter,
                                    std::span<const route_candidate> candidates,
                                    std::span<const std::string> excluded,
                                    std::mt19937_64& random) const {
    auto usable = usable_candidates(candidates, excluded, false);
    if (usable.empty()) {
        usable = usable_candidates(candidates, excluded, true);
    }
    const auto with_adapter = resident_candidates(usable);
    auto resident = cheaper(cheaper_of_random_two(with_adapter.same_region, limits_, random),
                            cheaper_of_random_two(with_adapter.other_region, limits_, random));
    const auto load = load_target(adapter, usable, limits_);
    if (resident.candidate == nullptr && load.candidate == nullptr) {
        return std::nullopt;
    }
    if (resident.candidate == nullptr) {
        return route{load.candidate->endpoint, true};
    }
    const auto load_threshold = load.cost + milliseconds(limits_.spill_margin);
    if (load.candidate != nullptr && resident.cost > load_threshold) {
        // Only two endpoints were compared, and both may be busy. A load is justified only if all
        // resident endpoints are.
        resident = cheaper(cheapest(with_adapter.same_region, limits_),
                           cheapest(with_adapter.other_region, limits_));
    }
    if (load.candidate != nullptr && resident.cost > load_threshold) {
        return route{load.candidate->endpoint, true};
    }
    return route{resident.candidate->endpoint, false};
}

} // namespace dragonflystair::policy
