#include "dragonflystair/support/hash.h"

#include "gateway_impl.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Holders of other data centres' leases wait as if this many candidates stood before them, other
/// nodes there as if many did: they hear of the holder only now and then.
constexpr std::size_t foreign_holder_rank = 3;
constexpr std::size_t foreign_rank = 20;

/// A lease that was not heard of for this long is not passed on; leads tell each other each second.
constexpr milliseconds heard_lifetime{2'500};

/// Nodes of a data centre up to which each places its own calls. On sites with three nodes each,
/// that served more than leads did (docs/experiments.md).
constexpr std::ptrdiff_t most_direct_nodes = 4;

} // namespace

/// Leases of others, so that nodes which are not linked to their holders do not take them for
/// vacant.
std::vector<held_lease> gateway::impl::heard_leases() const {
    std::vector<held_lease> leases;
    if (!holds_lease()) {
        return leases;
    }
    const auto now = boot_clock::now();
    for (const auto& [incarnation, peer] : peers_) {
        if (!is_near(peer) && now - peer.heard <= heard_lifetime) {
            leases.insert(leases.end(), peer.status.leases.begin(), peer.status.leases.end());
        }
    }
    return leases;
}

/// Name of the node that leads the own data centre, or none.
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
                               [](const auto& item) { return item.second->lease().holds(); });
}

bool gateway::impl::leads_own() const {
    const auto own = holders_.find(view_.settings.data_centre);
    return own != holders_.end() && own->second->lease().holds();
}

/// Whether this node or a peer gives orders to engines.
bool gateway::impl::loads_possible() const {
    return std::ranges::any_of(holders_, [](const auto& item) { return item.second->active(); }) ||
           !lease_holder(view_.settings.data_centre).empty();
}

/// Node that gives orders to the engines of a data centre, which may be this one; empty if none is
/// in touch.
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

/// Whether leads place calls. With few nodes each sees most of an engine's calls itself, and asking
/// a lead in another region costs more than it gains.
bool gateway::impl::leads_place() const {
    return std::ranges::count_if(registered_, [this](const auto& item) {
               return item.second.data_centre == view_.settings.data_centre;
           }) > most_direct_nodes;
}

/// Lead of the own data centre, or while that has none, of another one.
std::string gateway::impl::nearest_lead() const {
    if (!leads_place()) {
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

/// Peer that gives orders to the engines of a data centre, or if there is none, to others.
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

/// Nodes in the order in which they would lead a data centre: a lead places all calls there, so
/// that those with more processor time come first.
std::vector<std::string> gateway::impl::lead_order(const std::string& data_centre,
                                                   std::span<const std::string> names) const {
    auto order = support::rendezvous_order(data_centre, names);
    std::ranges::stable_sort(order, std::greater{}, [this](const std::string& name) {
        const auto node = registered_.find(name);
        return node == registered_.end() ? 0.0 : node->second.cores;
    });
    return order;
}

/// Place of this node among those that would take over a data centre's lease.
std::size_t gateway::impl::rank_for(const std::string& data_centre) const {
    const bool near = data_centre == view_.settings.data_centre;
    if (!near && !holds_lease()) {
        return foreign_rank;
    }
    std::vector<std::string> candidates{view_.settings.name};
    for (const auto& [incarnation, peer] : peers_) {
        if (!peer.status.leaving && (near ? is_near(peer) : !peer.status.leases.empty())) {
            candidates.push_back(peer.status.name);
        }
    }
    const auto order = lead_order(data_centre, candidates);
    const auto place = std::ranges::find(order, view_.settings.name) - order.begin();
    return static_cast<std::size_t>(place) + (near ? 0 : foreign_holder_rank);
}

} // namespace dragonflystair::gateway
