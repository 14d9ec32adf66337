#include "call_placer.h"

#include <chrono>
#include <span>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

namespace {

/// Set in the numbers that peers' calls have in the dispatcher; a node's own calls count from 1.
constexpr std::uint64_t peer_call_bit = std::uint64_t{1} << 63;

/// Time for which an endpoint that refused a connection gets no calls.
constexpr milliseconds refused_connection_backoff{400};

} // namespace

/// Returns whether leads place the calls of a service.
bool call_placer::is_placed_by_lead(const std::string& service) const {
    return view_.dispatcher.has_engines(service) ||
           view_.settings.plain_calls == config::plain_placement::lead;
}

void call_placer::submit(fleet::pending_call call) {
    if (!is_placed_by_lead(call.service)) {
        submit_locally(std::move(call), {});
        return;
    }
    call.may_divert = true;
    const auto lead = on_.nearest_lead();
    if (lead == view_.incarnation) {
        place(std::move(call), {});
        return;
    }
    call.data_centre.clear();
    request_placement(std::move(call), lead, view_.settings.data_centre);
}

/// Places a call as its lead: in a data centre that this node leads, or by a request to the lead of
/// another one. `full_data_centre` is one that had no capacity; may be empty.
void call_placer::place(fleet::pending_call call, std::string_view full_data_centre) {
    call.data_centre = data_centre_for(call, full_data_centre);
    if (call.data_centre != view_.settings.data_centre) {
        view_.dispatcher.note_diverted(call.model);
    }
    const auto lead = on_.lead(call.data_centre);
    if (lead == view_.incarnation) {
        const auto data_centre = call.data_centre;
        submit_locally(std::move(call), data_centre);
        return;
    }
    const auto data_centre = call.data_centre;
    request_placement(std::move(call), lead, data_centre);
}

/// Returns the data centre whose lead should place the call.
std::string call_placer::data_centre_for(const fleet::pending_call& call,
                                         std::string_view full_data_centre) const {
    if (view_.dispatcher.has_engines(call.service)) {
        return view_.dispatcher.lead_data_centre(call, full_data_centre);
    }
    return view_.dispatcher.plain_data_centre(call, full_data_centre,
                                              full_.of(call.service, on_.now()),
                                              delegated_.calls_by_data_centre(call.service));
}

/// Records whether the lead of another data centre had a free slot for a plain service.
void call_placer::note_room(const placement_answer& answer) {
    const auto* call = delegated_.call_of(answer.decision.number);
    // A call without a data centre was sent to this node's own lead, which may divert it.
    if (call == nullptr || call->data_centre.empty() ||
        view_.dispatcher.has_engines(call->service)) {
        return;
    }
    if (answer.waiting || answer.decision.endpoint.empty()) {
        view_.counters.increment("placements_total", "lead_full");
        full_.on_full(call->service, call->data_centre, on_.now());
    } else {
        full_.on_placed(call->service, call->data_centre);
    }
}

void call_placer::request_placement(fleet::pending_call call, const std::string& lead,
                                    const std::string& data_centre) {
    const auto now = on_.now();
    if (lead.empty() || !on_.send(lead, placement_request_frame(call, now))) {
        view_.counters.increment("placements_total", "without_lead");
        submit_locally(std::move(call), {});
        return;
    }
    view_.counters.increment("placements_total", "asked");
    const bool other_region =
        view_.topology.distance_to(data_centre) == fleet::topology::distance::other_region;
    delegated_.add(std::move(call), lead, data_centre, other_region, now);
}

/// Submits a call to this node's dispatcher. It places the call in `data_centre` as its lead, or,
/// if that is empty, in any data centre on the basis of this node's own view.
void call_placer::submit_locally(fleet::pending_call call, const std::string& data_centre) {
    call.data_centre = data_centre;
    call.may_divert = call.may_divert && !data_centre.empty();
    if (call.may_divert) {
        divertible_.insert_or_assign(call.number, call);
    }
    view_.dispatcher.submit(std::move(call));
    on_.pump();
}

void call_placer::retry(std::uint64_t number, send_outcome outcome) {
    if (!delegated_.contains(number)) {
        view_.dispatcher.retry(number);
        on_.pump();
        return;
    }
    const auto lead = delegated_.lead_of(number);
    const auto endpoint = delegated_.endpoint_of(number);
    auto call = delegated_.take(number);
    view_.dispatcher.finish(number, on_.now()); // In case this node has adopted it.
    on_.send(lead, placement_end_frame({number, outcome}));
    call->excluded.push_back(endpoint);
    submit(std::move(*call));
}

void call_placer::on_started(std::uint64_t number) {
    if (delegated_.contains(number)) {
        on_.send(delegated_.lead_of(number), placement_started_frame(number));
        return;
    }
    view_.dispatcher.on_started(number, on_.now());
}

void call_placer::finish(std::uint64_t number, send_outcome outcome) {
    divertible_.erase(number);
    if (delegated_.contains(number)) {
        on_.send(delegated_.lead_of(number), placement_end_frame({number, outcome}));
        delegated_.take(number);
        view_.dispatcher.finish(number, on_.now()); // In case this node has adopted it.
        return;
    }
    view_.dispatcher.finish(number, on_.now());
    on_.pump();
}

/// Delivers a final decision to the call, whose caller is served by this node or by a peer.
void call_placer::deliver_decision(const fleet::dispatch_decision& decision) {
    if ((decision.number & peer_call_bit) == 0) {
        on_.deliver_decision(decision);
        return;
    }
    if (const auto found = peer_calls_.find(decision.number); found != peer_calls_.end()) {
        answer_peer(found->second, decision);
    }
}

void call_placer::on_decision(const fleet::dispatch_decision& decision) {
    auto divertible = divertible_.extract(decision.number);
    if (decision.endpoint.empty() && decision.reason == fleet::refusal::elsewhere &&
        !divertible.empty()) {
        view_.dispatcher.finish(decision.number, on_.now());
        auto call = std::move(divertible.mapped());
        call.may_divert = false;
        const auto full_data_centre = call.data_centre;
        place(std::move(call), full_data_centre);
        return;
    }
    deliver_decision(decision);
}

void call_placer::answer_peer(peer_call& call, const fleet::dispatch_decision& decision) {
    call.decided = true;
    call.endpoint = decision.endpoint;
    call.endpoint_run = run_of(decision.endpoint);
    placement_answer answer;
    answer.decision = decision;
    answer.decision.number = call.number;
    const bool sent = on_.send(call.peer, placement_answer_frame(answer));
    if (decision.endpoint.empty() || !sent) {
        end_peer_call(decision.number, send_outcome::none);
    }
}

void call_placer::on_placement_request(std::string_view peer, const support::json& frame) {
    auto call = decode_placement_request(frame, on_.now());
    if (!call) {
        view_.counters.increment("peer_frames_damaged_total", "placement");
        return;
    }
    const auto number = peer_call_bit | ++last_peer_call_;
    peer_call_numbers_.insert_or_assign({std::string(peer), call->number}, number);
    peer_call entry;
    entry.peer = std::string(peer);
    entry.number = std::exchange(call->number, number);
    entry.model = call->model;
    placement_answer waiting;
    waiting.decision.number = entry.number;
    waiting.waiting = true;
    peer_calls_.emplace(number, std::move(entry));
    if (call->data_centre.empty()) {
        place(std::move(*call), {});
    } else {
        const auto data_centre = call->data_centre;
        submit_locally(std::move(*call), data_centre);
    }
    if (const auto found = peer_calls_.find(number);
        found != peer_calls_.end() && !found->second.decided) {
        on_.send(peer, placement_answer_frame(waiting));
    }
}

void call_placer::on_placement_answer(const support::json& frame) {
    auto answer = decode_placement_answer(frame);
    if (!answer) {
        view_.counters.increment("peer_frames_damaged_total", "placement_answer");
        return;
    }
    const auto number = answer->decision.number;
    note_room(*answer);
    if (answer->waiting) {
        delegated_.on_waiting(number);
        return;
    }
    if (!answer->decision.endpoint.empty()) {
        if (delegated_.on_placed(number, answer->decision.endpoint)) {
            deliver_decision(answer->decision);
        }
        return;
    }
    const auto data_centre = delegated_.data_centre_of(number);
    auto call = delegated_.take(number);
    if (!call) {
        return;
    }
    if (answer->decision.reason == fleet::refusal::elsewhere && call->may_divert) {
        call->may_divert = false;
        place(std::move(*call), data_centre);
        return;
    }
    deliver_decision(answer->decision);
}

std::optional<std::uint64_t> call_placer::peer_call_number(std::string_view peer,
                                                           const support::json& frame) const {
    const auto number = decode_call_number(frame);
    if (!number) {
        return std::nullopt;
    }
    const auto found = peer_call_numbers_.find({std::string(peer), *number});
    return found == peer_call_numbers_.end() ? std::nullopt : std::optional(found->second);
}

void call_placer::on_peer_call_started(std::string_view peer, const support::json& frame) {
    if (const auto number = peer_call_number(peer, frame)) {
        on_started(*number);
    }
}

void call_placer::on_peer_call_end(std::string_view peer, const support::json& frame) {
    const auto end = decode_placement_end(frame);
    const auto number = peer_call_number(peer, frame);
    if (end && number) {
        end_peer_call(*number, end->outcome);
    }
}

/// Returns the start time of the run of an endpoint that is in force; 0 if it is unknown.
std::uint64_t call_placer::run_of(std::string_view endpoint) const {
    const auto* record = view_.dispatcher.find(endpoint);
    return record == nullptr ? 0 : record->started_ms;
}

/// Releases the slot of a peer's call and applies its outcome to the endpoint's state.
void call_placer::end_peer_call(std::uint64_t number, send_outcome outcome) {
    auto node = peer_calls_.extract(number);
    if (node.empty()) {
        return;
    }
    const auto& call = node.mapped();
    const auto now = on_.now();
    // The outcome on a former run tells nothing of the endpoint.
    const bool same_run = call.endpoint_run == run_of(call.endpoint);
    switch (same_run ? outcome : send_outcome::none) {
    case send_outcome::none:
        break;
    case send_outcome::failed:
        view_.dispatcher.on_failed(call.endpoint, now);
        break;
    case send_outcome::unreachable:
        view_.dispatcher.suspend(call.endpoint, now + refused_connection_backoff);
        break;
    case send_outcome::not_resident:
        view_.dispatcher.set_residency(call.endpoint, call.model, fleet::residency::absent, 0);
        break;
    }
    peer_call_numbers_.erase({call.peer, call.number});
    finish(number, outcome);
}

void call_placer::on_peer_down(std::string_view peer) {
    std::vector<std::uint64_t> ended;
    for (const auto& [number, call] : peer_calls_) {
        if (call.peer == peer) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        end_peer_call(number, send_outcome::none);
    }
    // The next lead does not know these calls unless this node reports them.
    for (auto& [call, endpoint] : delegated_.placed_by(peer)) {
        view_.dispatcher.adopt(std::move(call), endpoint);
    }
    reclaim(delegated_.take_lost(peer));
}

void call_placer::tick() {
    const auto now = on_.now();
    if (const auto due = delegated_.next_due(); due && *due <= now) {
        reclaim(delegated_.take_overdue(now));
    }
}

/// Places calls on the basis of this node's own view. Also cancels their placement at the lead,
/// which may still be running.
void call_placer::reclaim(std::span<const fleet::delegated_calls::returned_call> calls) {
    for (const auto& [call, lead] : calls) {
        view_.counters.increment("placements_total", "lead_silent");
        on_.send(lead, placement_end_frame({call.number, send_outcome::none}));
        submit_locally(call, {});
    }
}

} // namespace dragonflystair::gateway
