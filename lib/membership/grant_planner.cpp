#include "dragonflystair/membership/grant_planner.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <set>

namespace dragonflystair::membership {

namespace {

/// Appends the live sessions that satisfy `accept`, in the endpoint's rendezvous order.
template <class Accept>
void append_in_rendezvous_order(std::vector<ledger::session_id>& order,
                                const ledger::member_fold& members, const std::string& endpoint,
                                Accept accept) {
    std::map<std::string, ledger::session_id> by_incarnation;
    std::vector<std::string> incarnations;
    for (const auto& [id, state] : members.sessions()) {
        if (accept(state.open)) {
            by_incarnation[state.open.incarnation] = id;
            incarnations.push_back(state.open.incarnation);
        }
    }
    for (const auto& incarnation : support::rendezvous_order(endpoint, incarnations)) {
        order.push_back(by_incarnation.at(incarnation));
    }
}

} // namespace

std::vector<ledger::session_id> grant_planner::preference(const ledger::member_fold& members,
                                                          const ownable_resource& endpoint) {
    const bool any_region = endpoint.region.empty();
    const auto in_region = [&](const ledger::session_open& open) {
        return any_region || open.region == endpoint.region;
    };
    const auto in_data_centre = [&](const ledger::session_open& open) {
        return in_region(open) && open.data_centre == endpoint.data_centre;
    };
    std::vector<ledger::session_id> order;
    append_in_rendezvous_order(order, members, endpoint.name, in_data_centre);
    append_in_rendezvous_order(order, members, endpoint.name, [&](const auto& open) {
        return in_region(open) && !in_data_centre(open);
    });
    if (order.empty()) {
        append_in_rendezvous_order(order, members, endpoint.name,
                                   [](const auto& /*open*/) { return true; });
    }
    return order;
}

std::vector<ledger::session_id> grant_planner::ranked_sessions(const ledger::member_fold& members,
                                                               const ownable_resource& endpoint) {
    auto sessions = preference(members, endpoint);
    const auto successor = std::ranges::find(sessions, members.successor_of(endpoint.name));
    if (successor != sessions.end()) {
        std::rotate(sessions.begin(), successor, successor + 1);
    }
    return sessions;
}

bool grant_planner::claim_due(const std::string& endpoint, std::size_t rank,
                              support::time_point now) {
    if (now - unowned_since_.at(endpoint) < claim_delay_ * static_cast<std::int64_t>(rank)) {
        return false;
    }
    const auto claimed = claimed_at_.find(endpoint);
    if (claimed != claimed_at_.end() && now - claimed->second < claim_delay_) {
        return false;
    }
    claimed_at_[endpoint] = now;
    return true;
}

std::vector<ledger::grant> grant_planner::plan(const ledger::member_fold& members,
                                               std::span<const ownable_resource> endpoints,
                                               ledger::session_id own, support::time_point now) {
    std::vector<ledger::grant> claims;
    std::set<std::string> unowned;
    for (const auto& endpoint : endpoints) {
        if (members.holder_of(endpoint.name)) {
            continue;
        }
        unowned.insert(endpoint.name);
        unowned_since_.try_emplace(endpoint.name, now);
        const auto sessions = ranked_sessions(members, endpoint);
        const auto self = std::ranges::find(sessions, own);
        if (self == sessions.end()) {
            continue;
        }
        if (claim_due(endpoint.name, static_cast<std::size_t>(self - sessions.begin()), now)) {
            claims.push_back({endpoint.name, own});
        }
    }
    const auto not_unowned = [&](const auto& entry) { return !unowned.contains(entry.first); };
    std::erase_if(unowned_since_, not_unowned);
    std::erase_if(claimed_at_, not_unowned);
    return claims;
}

} // namespace dragonflystair::membership
