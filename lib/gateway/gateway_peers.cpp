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

/// Nodes of another data centre that a lead dials to learn who leads there: rank decides, and two
/// of the first ones may have failed at once.
constexpr std::size_t lead_candidates = 3;

/// A peer is asked again for records that it has and this node lacks after this time.
constexpr milliseconds records_pause{400};

} // namespace

/// Every node is linked to those of its data centre. Leads are linked to each other and, as one may
/// have changed, to a few candidates of each data centre, and so are nodes whose own data centre
/// has no lead; one that leads another data centre also to the nodes there. Links between regions
/// so grow with the data centres and not with the nodes.
void gateway::impl::dial_peers() {
    std::vector<std::string> addresses;
    std::map<std::string, std::vector<std::string>> others;
    const bool looks_for_leads = holds_lease() || lead_of(view_.settings.data_centre).empty();
    for (const auto& [name, node] : registered_) {
        const auto holder = holders_.find(node.data_centre);
        const bool led = holder != holders_.end() && holder->second->lease().holds();
        if (name == view_.settings.name) {
            continue;
        }
        const bool all = holds_lease() && !leads_place();
        if (node.data_centre == view_.settings.data_centre || led || all) {
            addresses.push_back(node.peer_address);
        } else if (looks_for_leads) {
            others[node.data_centre].push_back(name);
        }
    }
    std::set<std::string> contacts;
    for (auto& [data_centre, names] : others) {
        auto order = lead_order(data_centre, names);
        order.resize(std::min(order.size(), lead_candidates));
        contacts.insert(order.begin(), order.end());
    }
    if (looks_for_leads) {
        for (const auto& [incarnation, peer] : peers_) {
            contacts.insert(peer.status.lead);
        }
    }
    for (const auto& name : contacts) {
        if (const auto node = registered_.find(name);
            node != registered_.end() && name != view_.settings.name) {
            addresses.push_back(node->second.peer_address);
        }
    }
    if (registered_.empty()) {
        addresses = view_.settings.peers;
    }
    network_.dial(addresses);
}

void gateway::impl::on_frame(std::string_view peer, const support::json& frame) {
    const auto kind = frame.value("type", std::string());
    if (kind == "s") {
        if (const auto status = decode_status(frame)) {
            on_status(peer, *status);
        }
    } else if (kind == "l") {
        on_loads(peer, frame);
    } else if (kind == "h") {
        const auto changes = decode_residency(frame);
        apply_residency(changes);
        relay_residency(peer, changes);
        pump();
    } else if (kind == "p") {
        placer_.on_asked(peer, frame);
    } else if (kind == "g") {
        placer_.on_answer(frame);
    } else if (kind == "b") {
        placer_.on_peer_started(peer, frame);
    } else if (kind == "f") {
        placer_.on_peer_end(peer, frame);
    } else if (kind == "d") {
        on_demand(decode_demand(frame));
    } else if (kind == "q") {
        on_records_request(peer, frame);
    } else if (kind == "r") {
        on_records(peer, frame);
    } else if (kind == "n") {
        on_peer_notice(peer, frame);
    } else if (kind == "x") {
        constexpr std::size_t max_fingerprints = 10'000;
        if (view_.lost_connections.size() >= max_fingerprints) {
            view_.lost_connections.clear();
        }
        on_lost_connection(peer, frame);
    }
}

/// Counts a call's lost connection, and passes on what came from the own data centre to the other
/// leads, and what came from those to the own data centre.
void gateway::impl::on_lost_connection(std::string_view peer, const support::json& frame) {
    const auto fingerprint = frame.find("f");
    if (fingerprint == frame.end() || !fingerprint->is_number_unsigned()) {
        counters_.increment("peer_frames_damaged_total", "lost_connection");
        return;
    }
    ++view_.lost_connections[fingerprint->get<std::uint64_t>()];
    pass_on(peer, frame);
}

/// Tells the own data centre, and those of other leads if this node leads its own.
void gateway::impl::spread(const support::json& frame) {
    send_nearby(frame);
    if (leads_own()) {
        send_to_leads(frame);
    }
}

/// Passes what a peer spreads on to where it has not been: a lead tells the others what came from
/// its own data centre, and its own data centre what came from the others.
void gateway::impl::pass_on(std::string_view peer, const support::json& frame) {
    const auto sender = peers_.find(peer);
    if (sender == peers_.end() || !leads_own()) {
        return;
    }
    if (is_near(sender->second)) {
        send_to_leads(frame);
    } else {
        send_nearby(frame);
    }
}

/// Sends to the nodes that lead their own data centres, other than this one's. A node that holds
/// the lease of another data centre is not one of them, or it would get everything twice.
void gateway::impl::send_to_leads(const support::json& frame) {
    for (const auto& [incarnation, peer] : peers_) {
        const auto& status = peer.status;
        if (!is_near(peer) && std::ranges::any_of(status.leases, [&](const auto& lease) {
                return lease.data_centre == status.data_centre;
            })) {
            network_.send(incarnation, frame);
        }
    }
}

void gateway::impl::on_status(std::string_view peer, const node_status& status) {
    const auto now = boot_clock::now();
    auto& known = peers_[std::string(peer)];
    if (known.status.name.empty()) {
        support::log_change("peer_regained", {{"peer", status.name}});
    }
    const bool leads_now = known.status.leases.empty() && !status.leases.empty();
    known.status = status;
    known.heard = now;
    if (leads_now) {
        send_all_residency(peer);
    }
    for (const auto& lease : status.heard_leases) {
        if (const auto holder = holders_.find(lease.data_centre); holder != holders_.end()) {
            holder->second->lease().on_holder_reported(lease.fence, now);
        }
    }
    view_.live_nodes = std::max(registered_.size(), peers_.size() + 1);
    for (const auto& lease : status.leases) {
        if (const auto holder = holders_.find(lease.data_centre); holder != holders_.end()) {
            holder->second->lease().on_holder_reported(lease.fence, now);
        }
    }
    if (status.leaving) {
        for (const auto& [name, holder] : holders_) {
            const bool held = std::ranges::any_of(
                status.leases, [&](const auto& lease) { return lease.data_centre == name; });
            if (!held && known.status.data_centre == name && !holder->lease().holds()) {
                holder->lease().on_holder_lost(now);
            }
        }
    }
    ask_for_records(peer, status);
}

/// While the store does not answer this node, peers that it does answer pass on what they read.
void gateway::impl::ask_for_records(std::string_view peer, const node_status& status) {
    for (const auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        const auto end = status.topic_ends.find(follower->topic());
        if (end != status.topic_ends.end() && end->second > follower->mirror().next()) {
            ask_for_records(peer, *follower);
        }
    }
}

void gateway::impl::ask_for_records(std::string_view peer, const store_follower& follower) {
    const auto now = boot_clock::now();
    auto& asked = asked_records_[follower.topic()];
    if (follower.reads() || now - asked < records_pause) {
        return;
    }
    asked = now;
    network_.send(peer, records_request(follower.topic(), follower.mirror().next()));
}

/// Takes over what a peer passes on, and asks for what lies between that and the own copy.
void gateway::impl::on_records(std::string_view peer, const support::json& frame) {
    const auto topic = frame.value("k", std::string());
    const auto page = decode_records(frame);
    for (auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        if (follower->topic() != topic) {
            continue;
        }
        follower->apply(page);
        if (follower->mirror().next() < page.next) {
            counters_.increment("record_gaps_total", topic);
            ask_for_records(peer, *follower);
        }
    }
}

void gateway::impl::on_records_request(std::string_view peer, const support::json& frame) {
    const auto topic = frame.value("k", std::string());
    const auto from = frame.value("f", std::uint64_t{0});
    for (auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        if (follower->topic() == topic) {
            network_.send(peer, records_frame(topic, follower->mirror().since(from)));
        }
    }
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

/// Passes a notice to the planner of its data centre, or, if this node does not lead there, to any
/// other that it leads.
void gateway::impl::on_demand(const demand_notice& notice) {
    const auto now = boot_clock::now();
    auto holder = holders_.find(notice.data_centre);
    if (holder == holders_.end() || !holder->second->lease().holds()) {
        holder = std::ranges::find_if(
            holders_, [](const auto& item) { return item.second->lease().holds(); });
    }
    if (holder == holders_.end()) {
        return;
    }
    auto& planner = holder->second->planner();
    for (const auto& [item, calls] : notice.used) {
        planner.on_used(item, now, calls);
    }
    for (const auto& item : notice.demand) {
        planner.on_demand(item, now);
    }
    holder->second->pump();
}

/// Takes over what lease holders say of engines. The planner of a lease that this node does not
/// hold remembers which engine had what, in case the node wins it.
void gateway::impl::apply_residency(std::span<const fleet::residency_change> changes) {
    for (const auto& item : changes) {
        view_.dispatcher.set_residency(item.endpoint, item.model, item.state, item.version);
        if (item.state != fleet::residency::ready) {
            continue;
        }
        const auto* engine = view_.dispatcher.find(item.endpoint);
        const auto holder = engine == nullptr ? holders_.end() : holders_.find(engine->data_centre);
        if (holder != holders_.end() && !holder->second->lease().holds()) {
            holder->second->planner().on_adapter_resident(item.endpoint, item.model);
        }
    }
}

node_status gateway::impl::own_status() {
    node_status status;
    status.name = view_.settings.name;
    status.data_centre = view_.settings.data_centre;
    status.caller_address = caller_server_.address();
    status.ready = ready();
    status.leaving = view_.stopping;
    status.reads_store = endpoint_records_.reads();
    for (const auto& [name, holder] : holders_) {
        if (holder->lease().holds()) {
            status.leases.push_back({name, holder->lease().fence(), holder->active()});
        }
    }
    status.heard_leases = heard_leases();
    status.lead = lead_name();
    for (const auto* follower : {&operator_records_, &endpoint_records_, &node_records_}) {
        status.topic_ends.emplace(follower->topic(), follower->mirror().next());
    }
    return status;
}

void gateway::impl::send_nearby(const support::json& frame) {
    std::vector<std::string> near;
    for (const auto& [incarnation, peer] : peers_) {
        if (is_near(peer)) {
            near.push_back(incarnation);
        }
    }
    network_.send_each(near, frame);
}

void gateway::impl::send_status(bool to_all) {
    const auto frame = status_frame(own_status());
    if (to_all) {
        network_.broadcast(frame);
    } else {
        send_nearby(frame);
    }
}

/// Whether a node of the data centre that comes before this one reads the store.
bool gateway::impl::has_reader() const {
    return std::ranges::any_of(peers_, [this](const auto& item) {
        const auto& status = item.second.status;
        return is_near(item.second) && status.reads_store && !status.leaving &&
               status.name < view_.settings.name;
    });
}

/// Nodes of the data centre that come before this one as its reader.
std::size_t gateway::impl::reader_rank() const {
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [this](const auto& item) {
        const auto& status = item.second.status;
        return is_near(item.second) && !status.leaving && status.name < view_.settings.name;
    }));
}

void gateway::impl::pass_on_records(const std::string& topic, const fleet::keyed_page& page) {
    send_nearby(records_frame(topic, page));
}

/// Tells other leads at once what engines have, and the nodes of the own data centre in batches:
/// where leads place calls, those need it only if their lead is lost.
void gateway::impl::send_residency(std::span<const fleet::residency_change> changes) {
    tell_leads(changes);
    news_for_nodes_.add(changes);
    if (!leads_place()) {
        tell_nodes();
    }
}

/// Tells a peer all that the engines of this node's leases have: a new lead knows it only as its
/// former one passed it on.
void gateway::impl::send_all_residency(std::string_view peer) {
    for (const auto& [name, holder] : holders_) {
        if (holder->lease().holds()) {
            network_.send(peer, residency_frame(holder->planner().residencies()));
        }
    }
}

/// Passes on to the own data centre what the lead of another tells.
void gateway::impl::relay_residency(std::string_view peer,
                                    std::span<const fleet::residency_change> changes) {
    const auto sender = peers_.find(peer);
    if (sender == peers_.end() || is_near(sender->second) || !holds_lease()) {
        return;
    }
    news_for_nodes_.add(changes);
    if (!leads_place()) {
        tell_nodes();
    }
}

/// Tells the lease holders of other data centres, which pass it on, or everyone where there is
/// none.
void gateway::impl::tell_leads(std::span<const fleet::residency_change> changes) {
    std::set<std::string_view> led;
    for (const auto& [incarnation, peer] : peers_) {
        if (!peer.status.leases.empty()) {
            led.insert(peer.status.data_centre);
        }
    }
    std::vector<std::string> receivers;
    for (const auto& [incarnation, peer] : peers_) {
        if (!is_near(peer) &&
            (!peer.status.leases.empty() || !led.contains(peer.status.data_centre))) {
            receivers.push_back(incarnation);
        }
    }
    network_.send_each(receivers, residency_frame(changes));
}

void gateway::impl::tell_nodes() {
    const auto changes = news_for_nodes_.take();
    if (!changes.empty()) {
        send_nearby(residency_frame(changes));
    }
}

/// Tells peers of the data centre which calls are under way by endpoint, where that has changed.
void gateway::impl::send_loads() {
    fleet::load_reports::audience audience;
    for (const auto& [incarnation, peer] : peers_) {
        if (is_near(peer)) {
            audience.peers.push_back(incarnation);
        }
    }
    if (leads_place()) {
        const auto lead = lead_of(view_.settings.data_centre);
        audience.leads = lead == view_.incarnation;
        // A lead of another data centre, which holds this one's lease too, passes no loads on.
        if (std::ranges::find(audience.peers, lead) != audience.peers.end()) {
            audience.lead = lead;
        }
    }
    const auto own = view_.dispatcher.own_loads();
    for (const auto& [receivers, report] : load_reports_.take_due(own, audience)) {
        network_.send_each(receivers, loads_frame(report));
    }
}

/// Tells the lease holders which adapters calls wait for, and now and then which were used.
void gateway::impl::send_demand(bool with_used) {
    std::map<std::string, demand_notice> notices;
    for (auto& item : view_.dispatcher.take_demand()) {
        notices[item.data_centre].demand.push_back(std::move(item));
    }
    if (with_used) {
        for (auto& [data_centre, used] : view_.dispatcher.take_used()) {
            notices[data_centre].used = std::move(used);
        }
    }
    for (auto& [data_centre, notice] : notices) {
        notice.data_centre = data_centre;
        send_notice(notice);
    }
}

void gateway::impl::send_notice(const demand_notice& notice) {
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
