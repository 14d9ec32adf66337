#pragma once

#include "dragonflystair/ledger/member_fold.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace dragonflystair::membership {

/// A resource that needs an owner: an endpoint, or the weight store under the name `store`. An
/// empty region means that sessions of any region are suitable.
struct ownable_resource {
    std::string name;
    std::string region;
    std::string data_centre;
};

/// Selects the resources without an owner that this node should claim now. The most preferred
/// session claims a resource at once and each further one `claim_delay` later than the one before
/// it, so that another session takes over if a preferred one does not claim.
class grant_planner {
public:
    explicit grant_planner(std::chrono::milliseconds claim_delay = std::chrono::seconds{1})
        : claim_delay_(claim_delay) {}

    /// Returns the grants that session `own` should append to the log now. A resource is claimed
    /// again only after `claim_delay`. A successor that the last holder named on release ranks
    /// before all other sessions.
    std::vector<ledger::grant> plan(const ledger::member_fold& members,
                                    std::span<const ownable_resource> endpoints,
                                    ledger::session_id own, support::time_point now);

    /// Returns the sessions in the order in which they should own a resource, most preferred first:
    /// those of its data centre, then those of its region, then, only if the region has none, all
    /// others.
    static std::vector<ledger::session_id> preference(const ledger::member_fold& members,
                                                      const ownable_resource& endpoint);

private:
    static std::vector<ledger::session_id> ranked_sessions(const ledger::member_fold& members,
                                                           const ownable_resource& endpoint);
    bool claim_due(const std::string& endpoint, std::size_t rank, support::time_point now);

    std::chrono::milliseconds claim_delay_;
    std::map<std::string, support::time_point> unowned_since_;
    std::map<std::string, support::time_point> claimed_at_;
};

} // namespace dragonflystair::membership
