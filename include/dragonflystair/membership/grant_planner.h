#pragma once

#include "dragonflystair/ledger/member_fold.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace dragonflystair::membership {

/// An endpoint, or the resource `store`, that needs an owner. An empty region means any region.
struct ownable_resource {
    std::string name;
    std::string region;
    std::string data_centre;
};

/// Decides which ungranted endpoints this node should claim now. The first preferred session claims
/// at once, each further one waits `step` longer, so that a silent first choice is replaced.
class grant_planner {
public:
    explicit grant_planner(std::chrono::milliseconds step = std::chrono::seconds{1})
        : step_(step) {}

    /// Claims to append now for `own`; an endpoint is proposed again only after `step`. The session
    /// that the last holder named to follow it comes before all others.
    std::vector<ledger::grant> plan(const ledger::member_fold& members,
                                    std::span<const ownable_resource> endpoints,
                                    ledger::session_id own, support::time_point now);

    /// Sessions in the order in which they should own an endpoint, most preferred first: those of
    /// its data centre, then those of its region, then, only if the region has none, all others.
    static std::vector<ledger::session_id> preference(const ledger::member_fold& members,
                                                      const ownable_resource& endpoint);

private:
    static std::vector<ledger::session_id> order(const ledger::member_fold& members,
                                                 const ownable_resource& endpoint);
    bool due(const std::string& endpoint, std::size_t place, support::time_point now);

    std::chrono::milliseconds step_;
    std::map<std::string, support::time_point> free_since_;
    std::map<std::string, support::time_point> proposed_at_;
};

} // namespace dragonflystair::membership
