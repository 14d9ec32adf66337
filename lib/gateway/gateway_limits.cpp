#include "dragonflystair/support/log.h"

#include "gateway_impl.h"

#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>

namespace dragonflystair::gateway {

using support::boot_clock;
using support::time_point;

namespace {

/// Lower bound of the interval between two rounds of grants; bounds their number at high limits.
constexpr std::chrono::milliseconds min_grant_interval{5};

/// Time points on this node's clock as numbers for frames, which return to this node only.
std::uint64_t to_stamp(time_point at) {
    return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

time_point from_stamp(std::uint64_t stamp) {
    return time_point{support::duration{static_cast<support::duration::rep>(stamp)}};
}

} // namespace

/// Records and applies what a response says about the rate limit of its endpoint, here or, as
/// relayed, at a peer. Returns whether that is new.
bool gateway::impl::on_limit(std::string_view endpoint, const fleet::limit_observation& observed,
                             std::string_view source) {
    if (watch_.is_former_run(endpoint, observed.started_ms) ||
        !view_.limits.observe(endpoint, observed)) {
        return false;
    }
    counters_.increment("endpoint_limits_total", source);
    support::log_change(
        "endpoint_limit",
        {{"endpoint", std::string(endpoint)},
         {"per_s", observed.per_s ? fmt::format("{:.3f}", *observed.per_s) : "none"},
         {"source", std::string(source)}});
    apply_limit(endpoint);
    pump();
    return true;
}

void gateway::impl::on_peer_limit(std::string_view peer, const support::json& frame) {
    const auto limit = decode_limit(frame, boot_clock::now());
    if (!limit) {
        counters_.increment("peer_frames_damaged_total", "limit");
        return;
    }
    if (on_limit(limit->endpoint, limit->observed, "peer")) {
        forward_frame(peer, frame);
    }
}

/// Passes the limit of the current run of an endpoint, if any, to all components that heed it.
void gateway::impl::apply_limit(std::string_view endpoint) {
    const auto now = boot_clock::now();
    const auto* record = view_.dispatcher.find(endpoint);
    const auto per_s =
        record == nullptr ? std::nullopt : view_.limits.per_s(endpoint, record->started_ms);
    const bool ended = record != nullptr && !per_s && view_.permits.limited(endpoint);
    if (ended && view_.dispatcher.paused_until(endpoint) < now) {
        // Ramps the load up, so that not all waiting calls of all nodes are sent at once.
        view_.dispatcher.pause(endpoint, now);
    }
    view_.permits.set_limit(endpoint, per_s);
    divider_.set_limit(endpoint, per_s, now);
    for (const auto& [name, holder] : holders_) {
        holder->planner().set_limit(endpoint, per_s);
    }
    view_.dispatcher.on_permits_changed();
}

/// Sends a new peer the limits that this node knows of, also those that have ended.
void gateway::impl::send_limits(std::string_view peer) {
    for (const auto& endpoint : view_.limits.known()) {
        network_.send(peer,
                      limit_frame({endpoint, *view_.limits.find(endpoint)}, boot_clock::now()));
    }
}

std::string gateway::impl::data_centre_of(std::string_view endpoint) const {
    const auto* record = view_.dispatcher.find(endpoint);
    return record == nullptr ? std::string{} : record->data_centre;
}

/// Returns whether this node divides the limits of a data centre's endpoints.
bool gateway::impl::divides(std::string_view data_centre) const {
    const auto holder = holders_.find(data_centre);
    return holder != holders_.end() && holder->second->lease().confirmed(boot_clock::now());
}

/// Returns the peer to which requests for permits of a data centre's endpoints go: its lead or, if
/// that is not connected, the lead of this node's data centre; empty if there is none.
std::string gateway::impl::divider_for(std::string_view data_centre) const {
    for (const auto& lead : {lead_of(data_centre), lead_of(view_.settings.data_centre)}) {
        if (!lead.empty() && lead != view_.incarnation) {
            return lead;
        }
    }
    return {};
}

/// Requests permits for waiting calls and grants those that have become available. Returns whether
/// this node received permits.
bool gateway::impl::update_permits() {
    const auto now = boot_clock::now();
    view_.permits.set_wanted(view_.dispatcher.permit_demand());
    send_permit_requests(view_.permits.take_due_requests(now), now);
    return send_grants();
}

void gateway::impl::send_permit_requests(std::span<const fleet::permit_request> requests,
                                         time_point now) {
    std::map<std::string, permit_requests> frames;
    for (const auto& request : requests) {
        const auto data_centre = data_centre_of(request.endpoint);
        if (divides(data_centre)) {
            divider_.request(request.endpoint, view_.incarnation, request.wanted, to_stamp(now),
                             now);
            continue;
        }
        const auto* observed = view_.limits.find(request.endpoint);
        if (const auto receiver = divider_for(data_centre);
            !receiver.empty() && observed != nullptr) {
            frames[receiver].rows.push_back({{request.endpoint, *observed}, request.wanted});
        }
    }
    for (auto& [receiver, frame] : frames) {
        frame.origin = view_.incarnation;
        frame.request = to_stamp(now);
        network_.send(receiver, permit_request_frame(frame, now));
    }
}

/// Queues a peer's requests at this node's divider, or forwards them to the lead of another data
/// centre. What the requests tell of limits is taken over.
void gateway::impl::on_permit_requests(std::string_view peer, const support::json& frame) {
    const auto now = boot_clock::now();
    auto requests = decode_permit_requests(frame, now);
    if (!requests) {
        counters_.increment("peer_frames_damaged_total", "permit_request");
        return;
    }
    const bool forwarded = requests->origin != peer;
    std::map<std::string, permit_requests> others;
    for (auto& row : requests->rows) {
        const auto& endpoint = row.limit.endpoint;
        on_limit(endpoint, row.limit.observed, "peer");
        const auto data_centre = data_centre_of(endpoint);
        if (!divides(data_centre)) {
            const auto lead = lead_of(data_centre);
            if (!forwarded && !lead.empty() && lead != view_.incarnation) {
                others[lead].rows.push_back(std::move(row));
            }
            continue;
        }
        if (!view_.permits.limited(endpoint)) {
            // The peer does not know yet that the limit has ended.
            if (const auto* observed = view_.limits.find(endpoint)) {
                network_.send(peer, limit_frame({endpoint, *observed}, now));
            }
            continue;
        }
        permit_routes_.insert_or_assign(requests->origin, std::string(peer));
        divider_.request(endpoint, requests->origin, row.wanted, requests->request, now);
    }
    for (auto& [receiver, rows] : others) {
        rows.origin = requests->origin;
        rows.request = requests->request;
        network_.send(receiver, permit_request_frame(rows, now));
    }
    if (send_grants()) {
        pump();
    }
}

/// Sends the divider's answers. Returns whether this node is among the receivers.
bool gateway::impl::send_grants() {
    const auto now = boot_clock::now();
    bool received = false;
    for (const auto& grant : divider_.take_grants(now)) {
        if (!divides(data_centre_of(grant.endpoint))) {
            continue;
        }
        if (grant.node == view_.incarnation) {
            view_.permits.on_answer(grant.endpoint, grant.count, from_stamp(grant.request),
                                    grant.next_in, grant.interval, now);
            received = received || grant.count > 0;
            continue;
        }
        if (const auto route = permit_routes_.find(grant.node); route != permit_routes_.end()) {
            network_.send(route->second,
                          permit_answer_frame({grant.node, grant.request, grant.endpoint,
                                               grant.count, grant.next_in, grant.interval}));
        }
    }
    schedule_grants();
    if (received) {
        view_.dispatcher.on_permits_changed();
    }
    return received;
}

/// Sends the next permit as soon as it is available: the nodes' calls wait for it at a time that
/// they were told.
void gateway::impl::schedule_grants() {
    const auto now = boot_clock::now();
    const auto due = divider_.next_due(now);
    if (!due) {
        return;
    }
    grant_timer_.expires_after(std::max<support::duration>(*due - now, min_grant_interval));
    grant_timer_.async_wait([this](const boost::system::error_code& code) {
        if (!code && send_grants()) {
            pump();
        }
    });
}

void gateway::impl::on_permit_answer(const support::json& frame) {
    const auto answer = decode_permit_answer(frame);
    if (!answer) {
        counters_.increment("peer_frames_damaged_total", "permit_answer");
        return;
    }
    if (answer->origin != view_.incarnation) {
        network_.send(answer->origin, frame);
        return;
    }
    view_.permits.on_answer(answer->endpoint, answer->count, from_stamp(answer->request),
                            answer->next_in, answer->interval, boot_clock::now());
    view_.dispatcher.on_permits_changed();
    pump();
}

/// Takes the permit for an order or a report request. The divider's own are charged to the limit
/// without a request, since its planner already spaces them.
bool gateway::impl::take_order_permit(std::string_view endpoint) {
    if (view_.permits.limited(endpoint) && divides(data_centre_of(endpoint))) {
        divider_.charge(endpoint, boot_clock::now());
        return true;
    }
    return view_.permits.take(endpoint, boot_clock::now());
}

/// Logs the requests that this node sent to endpoints that name limits, by kind.
void gateway::impl::log_limited_use() {
    for (const auto& use : view_.limits.take_use()) {
        const auto sent = [&use](fleet::request_kind kind) {
            return std::to_string(use.sent.at(static_cast<std::size_t>(kind)));
        };
        using enum fleet::request_kind;
        support::log_change("endpoint_limit_use", {{"endpoint", use.endpoint},
                                                   {"per_s", fmt::format("{:.3f}", use.per_s)},
                                                   {"first_tries", sent(first_try)},
                                                   {"retries", sent(retry)},
                                                   {"resumed_streams", sent(resumed_stream)},
                                                   {"orders", sent(order)},
                                                   {"checks", sent(check)},
                                                   {"reports", sent(report)}});
    }
}

/// Counts how often engines were passed over since their memory had no room for a call.
void gateway::impl::log_memory_limit() {
    const auto skips = view_.dispatcher.take_memory_skips();
    if (skips > 0) {
        counters_.increment("engines_passed_over_total", "memory", skips);
    }
    if (std::exchange(memory_limited_, skips > 0) != memory_limited_) {
        support::log_change("engine_memory_limit", {{"state", memory_limited_ ? "begun" : "ended"},
                                                    {"skips", std::to_string(skips)}});
    }
}

} // namespace dragonflystair::gateway
