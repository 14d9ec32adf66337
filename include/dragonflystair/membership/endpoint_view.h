#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::membership {

/// One VM as reported by the platform's VM list.
struct listed_vm {
    std::string id;
    std::string address;
    std::string data_centre;
    std::string service;
    bool leaving = false;
    bool operator==(const listed_vm&) const = default;
};

/// Availability of an endpoint for new work: `live` endpoints take it, `suspected` ones have missed
/// heartbeats, `leaving` ones are to be shut down, and `gone` ones are no longer in the VM list.
enum class endpoint_state { live, suspected, leaving, gone };

/// An endpoint with the state that results from all sources of `endpoint_view`.
struct endpoint_status {
    listed_vm vm;
    std::string region;
    endpoint_state state = endpoint_state::live;
};

/// Merges four sources of endpoint state: the VM list, the published deployment, reports of peers,
/// and direct heartbeats. An endpoint takes no new work as soon as the VM list, the deployment or a
/// peer reports it as leaving; missing heartbeats only make it suspected.
class endpoint_view {
public:
    /// Time without a successful heartbeat after which an endpoint is suspected.
    static constexpr std::chrono::milliseconds suspicion_timeout{3'000};

    /// Time for which a VM that is no longer in the list is still reported as gone.
    static constexpr std::chrono::minutes gone_retention{60};

    /// Replaces the VM list. A VM that is absent from it is gone. An id that was leaving once stays
    /// leaving until it has been absent from the list; an id that then reappears is a replaced VM,
    /// and so is one that is listed at another address. Returns the ids of replaced VMs.
    std::vector<std::string> update_list(std::span<const listed_vm> vms, support::time_point now);

    /// Replaces the data centres per service and the region per data centre with those of the
    /// published deployment. An endpoint is leaving while the deployment in force does not list the
    /// endpoint's data centre for its service. This state is not permanent, so that operators can
    /// publish a move back. Before the first deployment no endpoint is leaving for this reason.
    void update_deployment(std::map<std::string, std::set<std::string>> data_centres_by_service,
                           std::map<std::string, std::string> region_by_data_centre);

    /// Marks an endpoint as leaving on the report of a peer, permanently. Ignores ids that are not
    /// listed, since peers repeat their reports, and replaced VMs, since a peer with a stale list
    /// may refer to the previous VM of that id.
    void on_peer_reported_leaving(std::string_view id);

    void on_heartbeat(std::string_view id, support::time_point now);

    [[nodiscard]] std::optional<endpoint_status> find(std::string_view id,
                                                      support::time_point now) const;

    /// All endpoints of a service, or of all services, that are not gone.
    [[nodiscard]] std::vector<endpoint_status> of_service(std::string_view service,
                                                          support::time_point now) const;
    [[nodiscard]] std::vector<endpoint_status> all(support::time_point now) const;

    /// Ids that are leaving according to the VM list or a peer, to be reported to peers. Endpoints
    /// that are leaving only because of the deployment are left out, since peers read the
    /// deployment themselves and a later one must be able to revert that state.
    [[nodiscard]] std::vector<std::string> leaving() const;

private:
    struct endpoint_entry {
        listed_vm vm;
        support::time_point last_heartbeat;
        bool leaving = false;  ///< Reported by the VM list or a peer; permanent.
        bool replaced = false; ///< The id was leaving and belongs to another VM now.
        std::optional<support::time_point> gone_since;
    };
    bool add_or_update(const listed_vm& vm, support::time_point now);
    [[nodiscard]] bool leaving_by_deployment(const listed_vm& vm) const;
    [[nodiscard]] endpoint_status status_of(const endpoint_entry& entry,
                                            support::time_point now) const;

    std::map<std::string, endpoint_entry, std::less<>> entries_;
    std::map<std::string, std::set<std::string>> data_centres_by_service_;
    std::map<std::string, std::string> region_by_data_centre_;
};

} // namespace dragonflystair::membership
