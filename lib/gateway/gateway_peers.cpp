#include "dragonflystair/support/log.h"

#include "gateway_impl.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Number of nodes of another data centre that a lead dials to find the lead there. The lead is
/// chosen by rank, and two of the first nodes may have failed at the same time.
constexpr std::size_t max_lead_candidates = 3;

} // namespace

/// Selects the peers to connect to. Every node connects to all nodes of its data centre. Lease
/// holders, and nodes whose data centre has no lead, also connect to the known leads and, since a
/// lead may have changed, to a few candidates of each other data centre. A node that leads another
/// data centre also connects to all nodes there. Where nodes place their own calls, lease holders
/// connect to all nodes; otherwise the number of links between regions grows with the number of
/// data centres and not with the number of nodes.
void gateway::impl::dial_peers() {
    std::vector<std::string> addresses;
    std::map<std::string, std::vector<std::string>> others;
    const bool needs_leads = holds_lease() || lead_of(view_.settings.data_centre).empty();
    for (const auto& [name, node] : registered_nodes_) {
        const auto holder = holders_.find(node.data_centre);
        const bool led = holder != holders_.end() && holder->second->lease().holds();
        if (name == view_.settings.name) {
            continue;
        }
        const bool dial_all = holds_lease() && !leads_place_calls();
        if (node.data_centre == view_.settings.data_centre || led || dial_all) {
            addresses.push_back(node.peer_address);
        } else if (needs_leads) {
            others[node.data_centre].push_back(name);
        }
    }
    std::set<std::string> contacts;
    for (auto& [data_centre, names] : others) {
        auto order = lead_order(data_centre, names);
        order.resize(std::min(order.size(), max_lead_candidates));
        contacts.insert(order.begin(), order.end());
    }
    if (needs_leads) {
        for (const auto& [incarnation, peer] : peers_) {
            contacts.insert(peer.status.lead);
        }
    }
    for (const auto& name : contacts) {
        if (const auto node = registered_nodes_.find(name);
            node != registered_nodes_.end() && name != view_.settings.name) {
            addresses.push_back(node->second.peer_address);
        }
    }
    if (registered_nodes_.empty()) {
        addresses = view_.settings.peers;
    }
    network_.dial(addresses);
}

/// The frames of peers that this node handles, by the value of `type`.
const std::map<std::string, gateway::impl::frame_handler, std::less<>>&
gateway::impl::frame_handlers() {
    using self = gateway::impl;
    using json = support::json;
    static const std::map<std::string, frame_handler, std::less<>> handlers{
        {"s",
         [](self& node, auto peer, const json& frame) {
             if (const auto status = decode_status(frame)) {
                 node.on_status(peer, *status);
             }
         }},
        {"l", [](self& node, auto peer, const json& frame) { node.on_loads(peer, frame); }},
        {"h", [](self& node, auto peer, const json& frame) { node.on_residency(peer, frame); }},
        {"p", [](self& node, auto peer,
                 const json& frame) { node.placer_.on_placement_request(peer, frame); }},
        {"g", [](self& node, auto, const json& frame) { node.placer_.on_placement_answer(frame); }},
        {"b", [](self& node, auto peer,
                 const json& frame) { node.placer_.on_peer_call_started(peer, frame); }},
        {"f", [](self& node, auto peer,
                 const json& frame) { node.placer_.on_peer_call_end(peer, frame); }},
        {"d", [](self& node, auto, const json& frame) { node.on_demand(decode_demand(frame)); }},
        {"q",
         [](self& node, auto peer, const json& frame) { node.on_records_request(peer, frame); }},
        {"r", [](self& node, auto peer, const json& frame) { node.on_records(peer, frame); }},
        {"n", [](self& node, auto peer, const json& frame) { node.on_peer_notice(peer, frame); }},
        {"u", [](self& node, auto, const json& frame) { node.on_removals(frame); }},
        {"m", [](self& node, auto peer, const json& frame) { node.on_peer_limit(peer, frame); }},
        {"a",
         [](self& node, auto peer, const json& frame) { node.on_permit_requests(peer, frame); }},
        {"v", [](self& node, auto, const json& frame) { node.on_permit_answer(frame); }},
        {"w",
         [](self& node, auto peer, const json& frame) { node.on_freshness_request(peer, frame); }},
        {"y", [](self& node, auto peer, const json& frame) { node.on_quota_request(peer, frame); }},
        {"z", [](self& node, auto, const json& frame) { node.on_quota_grant(frame); }},
        {"x", [](self& node, auto, const json& frame) { node.on_freshness_answer(frame); }},
        {"e",
         [](self& node, auto peer, const json& frame) { node.on_crash_evidence(peer, frame); }},
        {"c",
         [](self& node, auto peer, const json& frame) { node.on_crash_conclusions(peer, frame); }}};
    return handlers;
}

void gateway::impl::on_frame(std::string_view peer, const support::json& frame) {
    const auto& handlers = frame_handlers();
    const auto handler = handlers.find(frame.value("type", std::string()));
    if (handler != handlers.end()) {
        handler->second(*this, peer, frame);
    }
}

void gateway::impl::on_residency(std::string_view peer, const support::json& frame) {
    const auto changes = decode_residency(frame);
    apply_residency(changes);
    forward_residency(peer, changes);
    pump();
}

/// Sends a frame to the nodes of this data centre and, if this node leads it, to the other leads.
void gateway::impl::publish_frame(const support::json& frame) {
    send_to_own_data_centre(frame);
    if (leads_own_data_centre()) {
        send_to_leads(frame);
    }
}

/// Forwards a frame that a peer published to nodes that have not received it: a lead forwards
/// frames from its own data centre to the other leads, and frames from those to its own data
/// centre.
void gateway::impl::forward_frame(std::string_view peer, const support::json& frame) {
    const auto sender = peers_.find(peer);
    if (sender == peers_.end() || !leads_own_data_centre()) {
        return;
    }
    if (in_own_data_centre(sender->second)) {
        send_to_leads(frame);
    } else {
        send_to_own_data_centre(frame);
    }
}

/// Sends a frame to the leads of the other data centres that are themselves located there. A node
/// that only holds the lease of a foreign data centre is excluded, since it would get every frame
/// twice.
void gateway::impl::send_to_leads(const support::json& frame) {
    for (const auto& [incarnation, peer] : peers_) {
        const auto& status = peer.status;
        if (!in_own_data_centre(peer) && std::ranges::any_of(status.leases, [&](const auto& lease) {
                return lease.data_centre == status.data_centre;
            })) {
            network_.send(incarnation, frame);
        }
    }
}

void gateway::impl::on_status(std::string_view peer, const node_status& status) {
    const auto now = boot_clock::now();
    auto& state = peers_[std::string(peer)];
    if (state.status.name.empty()) {
        support::log_change("peer_regained", {{"peer", status.name}});
    }
    const bool became_lead = state.status.leases.empty() && !status.leases.empty();
    state.status = status;
    state.status_received = now;
    update_readers(peer, status);
    if (became_lead) {
        send_all_residency(peer);
    }
    for (const auto& lease : status.observed_leases) {
        if (const auto holder = holders_.find(lease.data_centre); holder != holders_.end()) {
            holder->second->lease().on_holder_reported(lease.fence, now);
        }
    }
    view_.live_nodes = std::max(registered_nodes_.size(), peers_.size() + 1);
    for (const auto& lease : status.leases) {
        if (const auto holder = holders_.find(lease.data_centre); holder != holders_.end()) {
            holder->second->lease().on_holder_reported(lease.fence, now);
        }
    }
    if (status.leaving) {
        for (const auto& [name, holder] : holders_) {
            const bool held = std::ranges::any_of(
                status.leases, [&](const auto& lease) { return lease.data_centre == name; });
            if (!held && state.status.data_centre == name && !holder->lease().holds()) {
                holder->lease().on_holder_lost(now);
            }
        }
    }
    request_records(peer, status);
}

void gateway::impl::on_peer_down(std::string_view peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    support::log_change("peer_lost", {{"peer", found->second.status.name}});
    const auto now = boot_clock::now();
    for (const auto& lease : found->second.status.leases) {
        if (const auto holder = holders_.find(lease.data_centre); holder != holders_.end()) {
            holder->second->lease().on_holder_lost(now);
        }
    }
    peers_.erase(found);
    readers_.remove(peer);
    std::erase_if(quota_routes_, [&](const auto& route) { return route.second == peer; });
    std::erase_if(permit_routes_, [&](const auto& route) { return route.second == peer; });
    placer_.on_peer_down(peer);
    load_reports_.remove_peer(peer);
    view_.dispatcher.remove_peer(peer);
    pump();
}

void gateway::impl::on_loads(std::string_view peer, const support::json& frame) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    auto report = decode_loads(frame);
    const auto now = boot_clock::now();
    for (const auto& endpoint : found->second.loaded_endpoints) {
        if (!report.loads.contains(endpoint)) {
            view_.dispatcher.set_peer_load(peer, endpoint, {}, now);
        }
    }
    found->second.loaded_endpoints.clear();
    for (const auto& [endpoint, load] : report.loads) {
        view_.dispatcher.set_peer_load(peer, endpoint, load, now);
        found->second.loaded_endpoints.push_back(endpoint);
    }
    load_reports_.on_report(peer, std::move(report));
    if (view_.dispatcher.waiting() > 0) {
        pump();
    }
}

/// Passes a demand notice to the planner of its data centre or, if this node does not hold that
/// lease, to the planner of any lease that it holds.
void gateway::impl::on_demand(const demand_notice& notice) {
    const auto now = boot_clock::now();
    auto holder = holders_.find(notice.data_centre);
    if (holder == holders_.end() || !holder->second->lease().holds()) {
        holder = std::ranges::find_if(
            holders_, [](const auto& entry) { return entry.second->lease().holds(); });
    }
    if (holder == holders_.end()) {
        return;
    }
    auto& planner = holder->second->planner();
    for (const auto& [adapter, calls] : notice.used) {
        planner.on_used(adapter, now, calls);
    }
    for (const auto& demand : notice.demand) {
        planner.on_demand(demand, now);
    }
    holder->second->pump();
}

node_status gateway::impl::own_status() {
    node_status status;
    status.name = view_.settings.name;
    status.data_centre = view_.settings.data_centre;
    status.caller_address = caller_server_.address();
    status.ready = ready();
    status.leaving = view_.stopping;
    status.reads_store = endpoint_records_.reads();
    status.store_silence = endpoint_records_.silence();
    for (const auto& [name, holder] : holders_) {
        if (holder->lease().holds()) {
            status.leases.push_back({name, holder->lease().fence(), holder->active()});
        }
    }
    status.observed_leases = observed_leases();
    status.lead = lead_name();
    for (const auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        status.topic_ends.emplace(follower->topic(), follower->mirror().position());
    }
    status.version_sum = operator_records_.mirror().version_sum();
    return status;
}

void gateway::impl::send_to_own_data_centre(const support::json& frame) {
    std::vector<std::string> receivers;
    for (const auto& [incarnation, peer] : peers_) {
        if (in_own_data_centre(peer)) {
            receivers.push_back(incarnation);
        }
    }
    network_.send_each(receivers, frame);
}

void gateway::impl::send_status(bool to_all) {
    const auto frame = status_frame(own_status());
    if (to_all) {
        network_.broadcast(frame);
    } else {
        send_to_own_data_centre(frame);
    }
}

/// Tells the readers of the store in this data centre from a peer's status. A leaving node stops
/// reading.
void gateway::impl::update_readers(std::string_view peer, const node_status& status) {
    if (status.data_centre != view_.settings.data_centre || status.leaving) {
        readers_.remove(peer);
        return;
    }
    readers_.on_status(peer, status.name, status.reads_store,
                       boot_clock::now() - status.store_silence);
}

/// Sends the number of calls in flight by endpoint to peers of this data centre if it has changed.
void gateway::impl::send_loads() {
    fleet::load_reports::audience audience;
    for (const auto& [incarnation, peer] : peers_) {
        if (in_own_data_centre(peer)) {
            audience.peers.push_back(incarnation);
        }
    }
    if (leads_place_calls()) {
        const auto lead = lead_of(view_.settings.data_centre);
        audience.leads = lead == view_.incarnation;
        // If the lead of this data centre is located in another one, it does not forward loads.
        if (std::ranges::find(audience.peers, lead) != audience.peers.end()) {
            audience.lead = lead;
        }
    }
    const auto own = view_.dispatcher.own_loads();
    for (const auto& [receivers, report] : load_reports_.take_due(own, audience)) {
        network_.send_each(receivers, loads_frame(report));
    }
}

/// Sends the lease holders the adapters that calls wait for and, if `include_used`, those that
/// calls have used.
void gateway::impl::send_demand(bool include_used) {
    std::map<std::string, demand_notice> notices;
    for (auto& demand : view_.dispatcher.take_demand()) {
        notices[demand.data_centre].demand.push_back(std::move(demand));
    }
    if (include_used) {
        for (auto& [data_centre, used] : view_.dispatcher.take_used()) {
            notices[data_centre].used = std::move(used);
        }
    }
    for (auto& [data_centre, notice] : notices) {
        notice.data_centre = data_centre;
        send_demand_notice(notice);
    }
}

void gateway::impl::send_demand_notice(const demand_notice& notice) {
    const auto own = holders_.find(notice.data_centre);
    if (own != holders_.end() && own->second->active()) {
        on_demand(notice);
        return;
    }
    const auto receiver = lease_holder(notice.data_centre);
    if (receiver.empty()) {
        on_demand(notice);
        return;
    }
    network_.send(receiver, demand_frame(notice));
}

} // namespace dragonflystair::gateway
