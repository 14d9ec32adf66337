#include "dragonflystair/policy/router.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;
using pool = std::vector<const route_candidate*>;

/// Below this weight an endpoint is too slow to be chosen for a load.
constexpr double healthy_enough = 0.3;

/// Time in the batch as the cost sees it. Without it an idle endpoint would cost nothing, however
/// slow it is. 100 ms is less than any service time, and more changes nothing in the bench.
constexpr milliseconds in_the_batch{100};

struct scored {
    const route_candidate* candidate = nullptr;
    milliseconds cost{0};
};

/// Expected wait with what this node has sent since the report, as a share of the batch.
milliseconds cost_of(const route_candidate& candidate, const router_limits& limits) {
    const double batch = static_cast<double>(std::max<std::size_t>(candidate.batch_limit, 1));
    const double in_batch =
        static_cast<double>(candidate.running + candidate.queued + candidate.own_in_flight) / batch;
    // A batch that is nearly full may be full when the request arrives. 50 ms for a full one is as
    // good as 100 ms for short work's p99 in the bench and sends less work to other regions.
    const milliseconds busy{in_batch * in_batch * 50};
    const auto wait = milliseconds(candidate.expected_wait) + busy + in_the_batch;
    const auto link = candidate.same_region ? milliseconds{0} : limits.cross_region_penalty;
    return wait / std::max(candidate.health, 0.01) + link;
}

scored better(const scored& left, const scored& right) {
    if (left.candidate == nullptr) {
        return right;
    }
    return right.candidate != nullptr && right.cost < left.cost ? right : left;
}

/// Power of two choices: comparing only two keeps nodes with the same old report from all choosing
/// the same endpoint.
scored better_of_two(const pool& among, const router_limits& limits, std::mt19937_64& random) {
    if (among.empty()) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, among.size() - 1);
    const auto first = any(random);
    if (among.size() == 1) {
        return {among[0], cost_of(*among[0], limits)};
    }
    std::uniform_int_distribution<std::size_t> other(1, among.size() - 1);
    const auto second = (first + other(random)) % among.size();
    return better({among[first], cost_of(*among[first], limits)},
                  {among[second], cost_of(*among[second], limits)});
}

struct residents {
    pool near;
    pool far;
};

residents residents_of(const pool& usable) {
    residents found;
    for (const auto* candidate : usable) {
        if (candidate->resident) {
            (candidate->same_region ? found.near : found.far).push_back(candidate);
        }
    }
    return found;
}

scored best_of_all(const pool& among, const router_limits& limits) {
    scored best;
    for (const auto* candidate : among) {
        best = better(best, {candidate, cost_of(*candidate, limits)});
    }
    return best;
}

/// The first in rendezvous order for the adapter, so that all entry nodes choose the same endpoint
/// and its owner loads once for all of them. Another region comes after the own one.
scored load_target(std::string_view adapter, const pool& usable, const router_limits& limits) {
    const route_candidate* chosen = nullptr;
    const auto rank = [&](const route_candidate& candidate) {
        return std::tuple(candidate.health >= healthy_enough, candidate.same_region,
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

pool usable_of(std::span<const route_candidate> candidates, std::span<const std::string> excluded,
               bool suspected) {
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
    auto usable = usable_of(candidates, excluded, false);
    if (usable.empty()) {
        usable = usable_of(candidates, excluded, true);
    }
    const auto holders = residents_of(usable);
    auto resident = better(better_of_two(holders.near, limits_, random),
                           better_of_two(holders.far, limits_, random));
    const auto load = load_target(adapter, usable, limits_);
    if (resident.candidate == nullptr && load.candidate == nullptr) {
        return std::nullopt;
    }
    if (resident.candidate == nullptr) {
        return route{load.candidate->endpoint, true};
    }
    const auto worth_a_load = load.cost + milliseconds(limits_.spill_margin);
    if (load.candidate != nullptr && resident.cost > worth_a_load) {
        // The two that were compared may be the busy ones; a load is worth it only if all are.
        resident = better(best_of_all(holders.near, limits_), best_of_all(holders.far, limits_));
    }
    if (load.candidate != nullptr && resident.cost > worth_a_load) {
        return route{load.candidate->endpoint, true};
    }
    return route{resident.candidate->endpoint, false};
}

} // namespace dragonflystair::policy
