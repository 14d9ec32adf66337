#include "dragonflystair/support/hash.h"

#include "gateway_impl.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Ranks of nodes outside a data centre among the candidates for its lease: an offset for holders
/// of other leases, and the rank of all other nodes. They wait longer than the nodes of the data
/// centre since they receive the holder's status only occasionally.
constexpr std::size_t foreign_holder_rank = 3;
constexpr std::size_t foreign_rank = 20;

/// Maximum age of the status of a lease that is forwarded; leads exchange their status every
/// second.
constexpr milliseconds observed_lease_lifetime{2'500};

/// In data centres with at most this many nodes, each node places its own calls. With three nodes
/// per data centre, more calls are served in this way than with placement by leads.
constexpr std::ptrdiff_t max_direct_placement_nodes = 4;

} // namespace

/// Returns the leases that nodes of other data centres hold, for nodes that are not linked to these
/// holders and would otherwise take the leases for vacant.
std::vector<held_lease> gateway::impl::observed_leases() const {
    std::vector<held_lease> leases;
    if (!holds_lease()) {
        return leases;
    }
    const auto now = boot_clock::now();
    for (const auto& [incarnation, peer] : peers_) {
        if (!in_own_data_centre(peer) && now - peer.status_received <= observed_lease_lifetime) {
            leases.insert(leases.end(), peer.status.leases.begin(), peer.status.leases.end());
        }
    }
    return leases;
}

/// Returns the name of the node that leads this node's data centre; empty if there is none.
std::string gateway::impl::lead_name() const {
    const auto lead = lead_of(view_.settings.data_centre);
    if (lead == view_.incarnation) {
        return view_.settings.name;
    }
    const auto peer = peers_.find(lead);
    return peer == peers_.end() ? std::string{} : peer->second.status.name;
}

bool gateway::impl::holds_lease() const {
    return std::ranges::any_of(holders_,
                               [](const auto& entry) { return entry.second->lease().holds(); });
}

bool gateway::impl::leads_own_data_centre() const {
    const auto own = holders_.find(view_.settings.data_centre);
    return own != holders_.end() && own->second->lease().holds();
}

/// Returns whether this node or a peer may send orders to engines.
bool gateway::impl::loads_possible() const {
    return std::ranges::any_of(holders_,
                               [](const auto& entry) { return entry.second->active(); }) ||
           !lease_holder(view_.settings.data_centre).empty();
}

/// Returns the incarnation of the node that sends orders to the engines of a data centre, which may
/// be this node; empty if none is connected.
std::string gateway::impl::lead_of(std::string_view data_centre) const {
    if (const auto own = holders_.find(data_centre);
        own != holders_.end() && own->second->active()) {
        return view_.incarnation;
    }
    for (const auto& [incarnation, peer] : peers_) {
        const bool leads = std::ranges::any_of(peer.status.leases, [&](const auto& lease) {
            return lease.active && lease.data_centre == data_centre;
        });
        if (leads) {
            return incarnation;
        }
    }
    return {};
}

/// Returns whether leads place calls. With few nodes each one sees most of an engine's calls
/// itself, and a request to a lead in another region costs more than it gains.
bool gateway::impl::leads_place_calls() const {
    return std::ranges::count_if(registered_nodes_, [this](const auto& node) {
               return node.second.data_centre == view_.settings.data_centre;
           }) > max_direct_placement_nodes;
}

/// Returns the incarnation of the lead of this node's data centre or, while that has none, of
/// another one; empty if there is none or leads do not place calls.
std::string gateway::impl::nearest_lead() const {
    if (!leads_place_calls()) {
        return {};
    }
    if (auto lead = lead_of(view_.settings.data_centre); !lead.empty()) {
        return lead;
    }
    for (const auto& [incarnation, peer] : peers_) {
        if (std::ranges::any_of(peer.status.leases, &held_lease::active)) {
            return incarnation;
        }
    }
    return {};
}

/// Returns the peer that sends orders to the engines of a data centre or, if there is none, a peer
/// that does so elsewhere; empty if there is no such peer.
std::string gateway::impl::lease_holder(const std::string& data_centre) const {
    std::string other;
    for (const auto& [incarnation, peer] : peers_) {
        for (const auto& lease : peer.status.leases) {
            if (!lease.active) {
                continue;
            }
            if (lease.data_centre == data_centre) {
                return incarnation;
            }
            other = incarnation;
        }
    }
    return other;
}

/// Orders nodes by preference as the lead of a data centre. A lead places all calls there, so nodes
/// with more processor time are preferred.
std::vector<std::string> gateway::impl::lead_order(const std::string& data_centre,
                                                   std::span<const std::string> names) const {
    auto order = support::rendezvous_order(data_centre, names);
    std::ranges::stable_sort(order, std::greater{}, [this](const std::string& name) {
        const auto node = registered_nodes_.find(name);
        return node == registered_nodes_.end() ? 0.0 : node->second.cores;
    });
    return order;
}

/// Returns this node's rank among the candidates for a data centre's lease, from 0.
std::size_t gateway::impl::rank_for(const std::string& data_centre) const {
    const bool own = data_centre == view_.settings.data_centre;
    if (!own && !holds_lease()) {
        return foreign_rank;
    }
    std::vector<std::string> candidates{view_.settings.name};
    for (const auto& [incarnation, peer] : peers_) {
        if (!peer.status.leaving &&
            (own ? in_own_data_centre(peer) : !peer.status.leases.empty())) {
            candidates.push_back(peer.status.name);
        }
    }
    const auto order = lead_order(data_centre, candidates);
    const auto rank = std::ranges::find(order, view_.settings.name) - order.begin();
    return static_cast<std::size_t>(rank) + (own ? 0 : foreign_holder_rank);
}

} // namespace dragonflystair::gateway
