#include "gateway_impl.h"

#include <set>
#include <string_view>
#include <vector>

namespace dragonflystair::gateway {

/// Applies the residency changes that lease holders report. The planner of a lease that this node
/// does not hold records which engine had which adapter, in case the node acquires the lease. A
/// holder may not know yet that an engine has restarted and lost its adapters.
void gateway::impl::apply_residency(std::span<const fleet::residency_change> changes) {
    for (const auto& change : changes) {
        const auto* engine = view_.dispatcher.find(change.endpoint);
        if (engine != nullptr && fleet::is_outdated(change, *engine)) {
            counters_.increment("residency_outdated_total");
            continue;
        }
        view_.dispatcher.set_residency(change.endpoint, change.model, change.state, change.version);
        if (change.state != fleet::residency::ready) {
            continue;
        }
        const auto holder = engine == nullptr ? holders_.end() : holders_.find(engine->data_centre);
        if (holder != holders_.end() && !holder->second->lease().holds()) {
            holder->second->planner().on_adapter_resident(change.endpoint, change.model);
        }
    }
}

/// Sends residency changes to other leads immediately. Where leads place calls, the nodes of this
/// data centre get them in batches, since they need them only if their lead fails.
void gateway::impl::send_residency(std::span<const fleet::residency_change> changes) {
    send_residency_to_leads(changes);
    pending_residency_.add(changes);
    if (!leads_place_calls()) {
        flush_residency();
    }
}

/// Sends a peer the complete residency of the engines under this node's leases. A new lead
/// otherwise has only the changes that its predecessor forwarded.
void gateway::impl::send_all_residency(std::string_view peer) {
    for (const auto& [name, holder] : holders_) {
        if (holder->lease().holds()) {
            network_.send(peer, residency_frame(holder->planner().residencies()));
        }
    }
}

/// Forwards residency changes from the lead of another data centre to this data centre.
void gateway::impl::forward_residency(std::string_view peer,
                                      std::span<const fleet::residency_change> changes) {
    const auto sender = peers_.find(peer);
    if (sender == peers_.end() || in_own_data_centre(sender->second) || !holds_lease()) {
        return;
    }
    pending_residency_.add(changes);
    if (!leads_place_calls()) {
        flush_residency();
    }
}

/// Sends residency changes to the lease holders in other data centres, which forward them. Where a
/// data centre has no lease holder, all its nodes get the changes.
void gateway::impl::send_residency_to_leads(std::span<const fleet::residency_change> changes) {
    std::set<std::string_view> led;
    for (const auto& [incarnation, peer] : peers_) {
        if (!peer.status.leases.empty()) {
            led.insert(peer.status.data_centre);
        }
    }
    std::vector<std::string> receivers;
    for (const auto& [incarnation, peer] : peers_) {
        if (!in_own_data_centre(peer) &&
            (!peer.status.leases.empty() || !led.contains(peer.status.data_centre))) {
            receivers.push_back(incarnation);
        }
    }
    network_.send_each(receivers, residency_frame(changes));
}

void gateway::impl::flush_residency() {
    const auto changes = pending_residency_.take();
    if (!changes.empty()) {
        send_to_own_data_centre(residency_frame(changes));
    }
}

} // namespace dragonflystair::gateway
