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

/// One VM of the platform's list.
struct listed_vm {
    std::string id;
    std::string address;
    std::string data_centre;
    std::string service;
    bool leaving = false;
    bool operator==(const listed_vm&) const = default;
};

/// Whether an endpoint may get new work.
enum class endpoint_state { live, suspected, leaving, gone };

/// An endpoint as seen through all three sources.
struct endpoint_status {
    listed_vm vm;
    std::string region;
    endpoint_state state = endpoint_state::live;
};

/// Merges the VM list, the operators' text, what peers say, and direct heartbeats. The first source
/// that says leaving ends new work; heartbeats only suspect.
class endpoint_view {
public:
    /// Time without a successful heartbeat after which an endpoint is suspected.
    static constexpr std::chrono::milliseconds suspect_after{3'000};

    /// Replaces the VM list. A VM that has left the list is gone; `leaving` sticks to an id.
    void update_list(std::span<const listed_vm> vms, support::time_point now);

    /// Replaces the data centres per service and the region per data centre, as the text names
    /// them.
    void update_text(std::map<std::string, std::set<std::string>> data_centres_by_service,
                     std::map<std::string, std::string> region_by_data_centre);

    /// A peer says that an endpoint is leaving; it sticks.
    void on_peer_says_leaving(std::string_view id);

    void on_heartbeat(std::string_view id, support::time_point now);

    [[nodiscard]] std::optional<endpoint_status> find(std::string_view id,
                                                      support::time_point now) const;

    /// All endpoints of a service that are not gone.
    [[nodiscard]] std::vector<endpoint_status> of_service(std::string_view service,
                                                          support::time_point now) const;
    [[nodiscard]] std::vector<endpoint_status> all(support::time_point now) const;

    /// Ids that this node knows to be leaving, to be told to peers.
    [[nodiscard]] std::vector<std::string> leaving() const;

private:
    struct entry {
        listed_vm vm;
        support::time_point last_heartbeat;
    };
    [[nodiscard]] endpoint_status status_of(const entry& item, support::time_point now) const;

    std::map<std::string, entry, std::less<>> entries_;
    std::set<std::string, std::less<>> said_leaving_;
    std::map<std::string, std::set<std::string>> data_centres_by_service_;
    std::map<std::string, std::string> region_by_data_centre_;
};

} // namespace dragonflystair::membership
