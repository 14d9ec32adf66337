#pragma once

#include "dragonflystair/fleet/dispatcher.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Calls in flight by endpoint.
using endpoint_loads = std::map<std::string, endpoint_load>;

/// The loads that a node reports to a peer.
struct load_report {
    endpoint_loads loads; ///< Loads that the receiver attributes to the sender.
    bool sum = false;     ///< Includes the loads of other nodes.

    bool operator==(const load_report&) const = default;
};

/// Decides which loads are reported to which nodes of a data centre. If a node leads, the others
/// report only to it, and it reports to each of them the sum of its own loads and those of all
/// nodes but the receiver, so that the number of frames grows linearly with the number of nodes.
/// Without a lead each node reports to every other.
class load_reports {
public:
    struct audience {
        std::vector<std::string> peers; ///< The other nodes of the data centre.
        std::string lead;               ///< Leading peer; empty if no peer leads.
        bool leads = false;             ///< Whether this node leads.
    };

    struct due_report {
        std::vector<std::string> receivers;
        load_report report;
    };

    /// Records a report of a peer. Sums are not added to this node's own sums: two nodes that both
    /// lead for a moment would otherwise count each other's calls repeatedly.
    void on_report(std::string_view peer, load_report report);
    void remove_peer(std::string_view peer);

    /// Returns the reports that differ from those last sent to their receivers. Peers that no
    /// longer receive reports get an empty one, once.
    std::vector<due_report> take_due(const endpoint_loads& own, const audience& audience);

private:
    void add_if_changed(const std::string& peer, const load_report& report,
                        std::vector<due_report>& due);

    std::map<std::string, endpoint_loads, std::less<>> received_; ///< By peer, without sums.
    std::map<std::string, load_report, std::less<>> sent_;        ///< By receiver.
};

} // namespace dragonflystair::fleet
