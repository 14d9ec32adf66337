#include "dragonflystair/membership/grant_planner.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <set>

namespace dragonflystair::membership {

namespace {

/// Live sessions that `accept` lets through, in rendezvous order for the endpoint.
template <class Accept>
void append_in_order(std::vector<ledger::session_id>& order, const ledger::member_fold& members,
                     const std::string& endpoint, Accept accept) {
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
    const auto near = [&](const ledger::session_open& open) {
        return in_region(open) && open.data_centre == endpoint.data_centre;
    };
    std::vector<ledger::session_id> order;
    append_in_order(order, members, endpoint.name, near);
    append_in_order(order, members, endpoint.name,
                    [&](const auto& open) { return in_region(open) && !near(open); });
    if (order.empty()) {
        append_in_order(order, members, endpoint.name, [](const auto& /*open*/) { return true; });
    }
    return order;
}

std::vector<ledger::session_id> grant_planner::order(const ledger::member_fold& members,
                                                     const ownable_resource& endpoint) {
    auto sessions = preference(members, endpoint);
    const auto successor = std::ranges::find(sessions, members.successor_of(endpoint.name));
    if (successor != sessions.end()) {
        std::rotate(sessions.begin(), successor, successor + 1);
    }
    return sessions;
}

bool grant_planner::due(const std::string& endpoint, std::size_t place, support::time_point now) {
    if (now - free_since_.at(endpoint) < step_ * static_cast<std::int64_t>(place)) {
        return false;
    }
    const auto proposed = proposed_at_.find(endpoint);
    if (proposed != proposed_at_.end() && now - proposed->second < step_) {
        return false;
    }
    proposed_at_[endpoint] = now;
    return true;
}

std::vector<ledger::grant> grant_planner::plan(const ledger::member_fold& members,
                                               std::span<const ownable_resource> endpoints,
                                               ledger::session_id own, support::time_point now) {
    std::vector<ledger::grant> claims;
    std::set<std::string> free;
    for (const auto& endpoint : endpoints) {
        if (members.holder_of(endpoint.name)) {
            continue;
        }
        free.insert(endpoint.name);
        free_since_.try_emplace(endpoint.name, now);
        const auto sessions = order(members, endpoint);
        const auto self = std::ranges::find(sessions, own);
        if (self == sessions.end()) {
            continue;
        }
        if (due(endpoint.name, static_cast<std::size_t>(self - sessions.begin()), now)) {
            claims.push_back({endpoint.name, own});
        }
    }
    const auto not_free = [&](const auto& item) { return !free.contains(item.first); };
    std::erase_if(free_since_, not_free);
    std::erase_if(proposed_at_, not_free);
    return claims;
}

} // namespace dragonflystair::membership
