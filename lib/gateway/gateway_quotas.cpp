#include "dragonflystair/support/log.h"

#include "gateway_impl.h"
#include "quota_frames.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;
using support::time_point;

namespace {

/// Age of a peer's status, which is sent every 500 ms, up to which it counts as in touch.
constexpr milliseconds touch_age{1'000};

time_point from_stamp(std::uint64_t stamp) {
    return time_point{support::duration{static_cast<support::duration::rep>(stamp)}};
}

} // namespace

/// Returns the data centre whose lead allocates the quotas: the first one by name, which is the
/// same in the settings of all nodes.
std::string_view gateway::impl::quota_data_centre() const {
    return holders_.empty() ? std::string_view{} : std::string_view{holders_.begin()->first};
}

void gateway::impl::configure_quotas(const fleet::configuration& configuration) {
    view_.quotas.configure(configuration.tenants);
    quota_allocator_.configure(configuration.tenants, boot_clock::now());
}

/// Starts or stops the allocator with the lease, requests tokens and grants them.
void gateway::impl::update_quotas() {
    if (!view_.quotas.any_limited()) {
        quota_allocator_.stop();
        return;
    }
    const auto now = boot_clock::now();
    // Without the list of nodes, as after a start without the store, this node knows no share.
    const auto nodes = registered_nodes_.empty()
                           ? std::size_t{0}
                           : std::max(registered_nodes_.size(), peers_.size() + 1);
    view_.quotas.set_nodes(nodes);
    quota_allocator_.set_nodes(nodes, now);
    const bool allocates = divides(quota_data_centre());
    if (allocates && !quota_allocator_.running()) {
        quota_allocator_.start(now);
        support::log_change("quota_allocator_started");
    } else if (!allocates && quota_allocator_.running()) {
        quota_allocator_.stop();
        support::log_change("quota_allocator_stopped");
    }
    send_quota_request();
    send_quota_grants();
    relay_.on_quota_changed();
    for (const auto& change : view_.quotas.take_changes(now)) {
        support::log_change(change.takes_effect ? "quota_takes_effect" : "quota_ends_effect",
                            {{"tenant", change.tenant}});
    }
}

/// Requests tokens if that is due.
void gateway::impl::send_quota_request() {
    const auto now = boot_clock::now();
    const auto request = view_.quotas.take_due_request(now);
    if (!request) {
        return;
    }
    if (quota_allocator_.running()) {
        quota_allocator_.request(view_.incarnation, *request, now);
        return;
    }
    if (const auto receiver = divider_for(quota_data_centre()); !receiver.empty()) {
        network_.send(receiver, quota_request_frame({view_.incarnation, *request}));
    }
}

/// Tells the allocator how many nodes of each data centre that this node leads are in touch with
/// it. The lead of a data centre may be located in another one.
void gateway::impl::report_nodes_in_touch() {
    if (!view_.quotas.any_limited()) {
        return;
    }
    for (const auto& [data_centre, holder] : holders_) {
        if (holder->lease().holds()) {
            report_nodes_in_touch(data_centre);
        }
    }
}

void gateway::impl::report_nodes_in_touch(const std::string& data_centre) {
    const auto now = boot_clock::now();
    const auto peers = std::ranges::count_if(peers_, [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.status.data_centre == data_centre && now - peer.status_received <= touch_age;
    });
    const std::size_t self = data_centre == view_.settings.data_centre ? 1 : 0;
    const touch_report report{data_centre, static_cast<std::size_t>(peers) + self};
    if (quota_allocator_.running()) {
        quota_allocator_.on_nodes_in_touch(report.data_centre, report.nodes, now);
        return;
    }
    if (const auto receiver = lead_of(quota_data_centre());
        !receiver.empty() && receiver != view_.incarnation) {
        network_.send(receiver, touch_report_frame(report));
    }
}

/// Passes a peer's request to the allocator here, or forwards it to the allocator's node.
void gateway::impl::on_quota_request(std::string_view peer, const support::json& frame) {
    const auto now = boot_clock::now();
    if (is_touch_report(frame)) {
        if (const auto report = decode_touch_report(frame)) {
            quota_allocator_.on_nodes_in_touch(report->data_centre, report->nodes, now);
        } else {
            counters_.increment("peer_frames_damaged_total", "quota_touch");
        }
        return;
    }
    if (!quota_allocator_.running()) {
        const auto origin = frame.find("o");
        const auto lead = lead_of(quota_data_centre());
        const bool direct = origin != frame.end() && origin->is_string() && *origin == peer;
        if (direct && !lead.empty() && lead != view_.incarnation) {
            network_.send(lead, frame);
        }
        return;
    }
    const auto message = decode_quota_request(frame);
    if (!message) {
        counters_.increment("peer_frames_damaged_total", "quota_request");
        return;
    }
    quota_routes_.insert_or_assign(message->origin, std::string(peer));
    quota_allocator_.request(message->origin, message->request, now);
}

void gateway::impl::send_quota_grants() {
    // The lease may have ended since the last tick.
    if (!quota_allocator_.running() || !divides(quota_data_centre())) {
        return;
    }
    const auto now = boot_clock::now();
    const auto grants = quota_allocator_.take_grants(now);
    const bool reserves = quota_allocator_.silent_nodes() > 0;
    if (std::exchange(reserves_quota_shares_, reserves) != reserves) {
        support::log_change("quota_shares_reserved",
                            {{"state", reserves ? "begun" : "ended"},
                             {"silent_nodes", std::to_string(quota_allocator_.silent_nodes())}});
    }
    for (const auto& grant : grants) {
        if (grant.node == view_.incarnation) {
            view_.quotas.on_answer(grant.rows, from_stamp(grant.stamp), now);
        } else if (const auto route = quota_routes_.find(grant.node);
                   route != quota_routes_.end()) {
            network_.send(route->second, quota_grant_frame(grant));
        }
    }
}

void gateway::impl::on_quota_grant(const support::json& frame) {
    const auto origin = frame.find("o");
    if (origin != frame.end() && origin->is_string() && *origin != view_.incarnation) {
        network_.send(origin->get<std::string>(), frame);
        return;
    }
    const auto grant = decode_quota_grant(frame);
    if (!grant) {
        counters_.increment("peer_frames_damaged_total", "quota_grant");
        return;
    }
    view_.quotas.on_answer(grant->rows, from_stamp(grant->stamp), boot_clock::now());
    relay_.on_quota_changed();
}

} // namespace dragonflystair::gateway
