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

    /// How long a VM that left the list is still reported as gone.
    static constexpr std::chrono::minutes forget_gone_after{60};

    /// Replaces the VM list. A VM that is absent from it is gone. `leaving` sticks to an id until
    /// it has been absent; an id that then comes back is a replaced VM.
    void update_list(std::span<const listed_vm> vms, support::time_point now);

    /// Replaces the data centres per service and the region per data centre, as the text names
    /// them. An endpoint whose data centre its service no longer names is leaving while that text
    /// is in force, so that operators can publish a move back. Before the first text all are live.
    void update_deployment(std::map<std::string, std::set<std::string>> data_centres_by_service,
                           std::map<std::string, std::string> region_by_data_centre);

    /// A peer says that an endpoint is leaving; it sticks. Ignored for ids that are not listed
    /// (peers repeat it), and for replaced VMs, since a peer whose list lags may mean the VM
    /// before.
    void on_peer_reported_leaving(std::string_view id);

    void on_heartbeat(std::string_view id, support::time_point now);

    [[nodiscard]] std::optional<endpoint_status> find(std::string_view id,
                                                      support::time_point now) const;

    /// All endpoints of a service, or of all services, that are not gone.
    [[nodiscard]] std::vector<endpoint_status> of_service(std::string_view service,
                                                          support::time_point now) const;
    [[nodiscard]] std::vector<endpoint_status> all(support::time_point now) const;

    /// Ids that are leaving by the list or by a peer, to be told to peers. What the text says is
    /// left out, since peers read the text themselves and must be able to take it back.
    [[nodiscard]] std::vector<std::string> leaving() const;

private:
    struct entry {
        listed_vm vm;
        support::time_point last_heartbeat;
        bool leaving = false;  ///< Said by the list or a peer; sticks.
        bool replaced = false; ///< The id was leaving, then absent, and came back.
        std::optional<support::time_point> gone_since;
    };
    void list(const listed_vm& vm, support::time_point now);
    [[nodiscard]] bool leaving_by_text(const listed_vm& vm) const;
    [[nodiscard]] endpoint_status status_of(const entry& item, support::time_point now) const;

    std::map<std::string, entry, std::less<>> entries_;
    std::map<std::string, std::set<std::string>> data_centres_by_service_;
    std::map<std::string, std::string> region_by_data_centre_;
};

} // namespace dragonflystair::membership
