#pragma once

#include "dragonflystair/fleet/dispatcher.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Calls under way by endpoint.
using endpoint_loads = std::map<std::string, endpoint_load>;

/// What a node tells a peer.
struct load_report {
    endpoint_loads loads; ///< All that the receiver should count as the sender's.
    bool sum = false;     ///< Holds loads of others, too.

    bool operator==(const load_report&) const = default;
};

/// Decides which nodes of a data centre are told which loads. Where a node leads, the others tell
/// it alone, and it tells each of them its own loads and the sum of all others': frames so grow
/// with the nodes and not with their square. Without a lead each node tells every other.
class load_reports {
public:
    struct audience {
        std::vector<std::string> peers; ///< The other nodes of the data centre.
        std::string lead;               ///< One of the peers; empty if none leads.
        bool leads = false;             ///< This node does.
    };

    struct due_report {
        std::vector<std::string> receivers;
        load_report report;
    };

    /// A report came from a peer. Sums are not passed on: two nodes that both lead for a moment
    /// would count each other's calls again and again.
    void on_report(std::string_view peer, load_report report);
    void remove_peer(std::string_view peer);

    /// Reports that differ from what their receivers were told last. Peers that are no longer told
    /// anything get an empty one, once.
    std::vector<due_report> take_due(const endpoint_loads& own, const audience& audience);

private:
    void add_if_changed(const std::string& peer, const load_report& report,
                        std::vector<due_report>& out);

    std::map<std::string, endpoint_loads, std::less<>> heard_; ///< By peer, without sums.
    std::map<std::string, load_report, std::less<>> told_;     ///< By receiver.
};

} // namespace dragonflystair::fleet
