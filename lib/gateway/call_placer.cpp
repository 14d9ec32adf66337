#include "call_placer.h"

#include <chrono>
#include <span>
#include <utility>
#include <vector>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

namespace {

/// Numbers of peers' calls in the dispatcher; a node's own calls count from 1.
constexpr std::uint64_t served_bit = std::uint64_t{1} << 63;

/// An endpoint that refused a connection is left alone this long.
constexpr milliseconds refused_connection_pause{400};

} // namespace

void call_placer::submit(fleet::pending_call call) {
    if (!view_.dispatcher.has_engines(call.service)) {
        submit_here(std::move(call), {});
        return;
    }
    call.may_divert = true;
    const auto lead = on_.nearest_lead();
    if (lead == view_.incarnation) {
        place(std::move(call), {});
        return;
    }
    call.data_centre.clear();
    ask(std::move(call), lead, view_.settings.data_centre);
}

/// Places a call as its lead: in a data centre that this node leads, or by asking the lead of
/// another. `passed` is a data centre that had no room.
void call_placer::place(fleet::pending_call call, std::string_view passed) {
    call.data_centre = view_.dispatcher.lead_data_centre(call, passed);
    if (call.data_centre != view_.settings.data_centre) {
        view_.dispatcher.note_diverted(call.model);
    }
    const auto lead = on_.lead(call.data_centre);
    if (lead == view_.incarnation) {
        const auto data_centre = call.data_centre;
        submit_here(std::move(call), data_centre);
        return;
    }
    const auto data_centre = call.data_centre;
    ask(std::move(call), lead, data_centre);
}

void call_placer::ask(fleet::pending_call call, const std::string& lead,
                      const std::string& data_centre) {
    const auto now = on_.now();
    if (lead.empty() || !on_.send(lead, placement_frame(call, now))) {
        view_.counters.increment("placements_total", "without_lead");
        submit_here(std::move(call), {});
        return;
    }
    view_.counters.increment("placements_total", "asked");
    const bool far =
        view_.topology.distance_to(data_centre) == fleet::topology::distance::other_region;
    delegated_.add(std::move(call), lead, data_centre, far, now);
}

/// Lets this node's dispatcher place a call, as the lead of a data centre or, if that is empty, by
/// what it knows of all of them.
void call_placer::submit_here(fleet::pending_call call, const std::string& data_centre) {
    call.data_centre = data_centre;
    call.may_divert = call.may_divert && !data_centre.empty();
    if (call.may_divert) {
        passing_.insert_or_assign(call.number, call);
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
    passing_.erase(number);
    if (delegated_.contains(number)) {
        on_.send(delegated_.lead_of(number), placement_end_frame({number, outcome}));
        delegated_.take(number);
        return;
    }
    view_.dispatcher.finish(number, on_.now());
    on_.pump();
}

/// Hands a final decision to the call, whose caller is served by this node or by a peer.
void call_placer::decide(const fleet::dispatch_decision& decision) {
    if ((decision.number & served_bit) == 0) {
        on_.decide(decision);
        return;
    }
    if (const auto found = served_.find(decision.number); found != served_.end()) {
        decide_for_peer(found->second, decision);
    }
}

void call_placer::on_decision(const fleet::dispatch_decision& decision) {
    auto passing = passing_.extract(decision.number);
    if (decision.endpoint.empty() && decision.reason == fleet::refusal::elsewhere &&
        !passing.empty()) {
        view_.dispatcher.finish(decision.number, on_.now());
        auto call = std::move(passing.mapped());
        call.may_divert = false;
        const auto passed = call.data_centre;
        place(std::move(call), passed);
        return;
    }
    decide(decision);
}

void call_placer::decide_for_peer(peer_call& item, const fleet::dispatch_decision& decision) {
    item.decided = true;
    item.endpoint = decision.endpoint;
    placement_answer answer;
    answer.decision = decision;
    answer.decision.number = item.number;
    const bool sent = on_.send(item.peer, placement_answer_frame(answer));
    if (decision.endpoint.empty() || !sent) {
        end_served(decision.number, send_outcome::none);
    }
}

void call_placer::on_asked(std::string_view peer, const support::json& frame) {
    auto call = decode_placement(frame, on_.now());
    if (!call) {
        view_.counters.increment("peer_frames_damaged_total", "placement");
        return;
    }
    const auto number = served_bit | ++last_served_;
    served_numbers_.insert_or_assign({std::string(peer), call->number}, number);
    peer_call item;
    item.peer = std::string(peer);
    item.number = std::exchange(call->number, number);
    item.model = call->model;
    placement_answer waiting;
    waiting.decision.number = item.number;
    waiting.waiting = true;
    served_.emplace(number, std::move(item));
    if (call->data_centre.empty()) {
        place(std::move(*call), {});
    } else {
        const auto data_centre = call->data_centre;
        submit_here(std::move(*call), data_centre);
    }
    if (const auto found = served_.find(number); found != served_.end() && !found->second.decided) {
        on_.send(peer, placement_answer_frame(waiting));
    }
}

void call_placer::on_answer(const support::json& frame) {
    auto answer = decode_placement_answer(frame);
    if (!answer) {
        view_.counters.increment("peer_frames_damaged_total", "placement_answer");
        return;
    }
    const auto number = answer->decision.number;
    if (answer->waiting) {
        delegated_.on_waiting(number);
        return;
    }
    if (!answer->decision.endpoint.empty()) {
        if (delegated_.on_placed(number, answer->decision.endpoint)) {
            decide(answer->decision);
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
    decide(answer->decision);
}

std::optional<std::uint64_t> call_placer::served_number(std::string_view peer,
                                                        const support::json& frame) const {
    const auto number = decode_call_number(frame);
    if (!number) {
        return std::nullopt;
    }
    const auto found = served_numbers_.find({std::string(peer), *number});
    return found == served_numbers_.end() ? std::nullopt : std::optional(found->second);
}

void call_placer::on_peer_started(std::string_view peer, const support::json& frame) {
    if (const auto number = served_number(peer, frame)) {
        on_started(*number);
    }
}

void call_placer::on_peer_end(std::string_view peer, const support::json& frame) {
    const auto end = decode_placement_end(frame);
    const auto number = served_number(peer, frame);
    if (end && number) {
        end_served(*number, end->outcome);
    }
}

/// Frees the place of a peer's call and learns from how it ended.
void call_placer::end_served(std::uint64_t number, send_outcome outcome) {
    auto node = served_.extract(number);
    if (node.empty()) {
        return;
    }
    const auto& item = node.mapped();
    const auto now = on_.now();
    switch (outcome) {
    case send_outcome::none:
        break;
    case send_outcome::failed:
        view_.dispatcher.on_failed(item.endpoint, now);
        break;
    case send_outcome::unreachable:
        view_.dispatcher.suspend(item.endpoint, now + refused_connection_pause);
        break;
    case send_outcome::not_resident:
        view_.dispatcher.set_residency(item.endpoint, item.model, fleet::residency::absent, 0);
        break;
    }
    served_numbers_.erase({item.peer, item.number});
    finish(number, outcome);
}

void call_placer::on_peer_down(std::string_view peer) {
    std::vector<std::uint64_t> ended;
    for (const auto& [number, item] : served_) {
        if (item.peer == peer) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        end_served(number, send_outcome::none);
    }
    take_back(delegated_.take_lost(peer));
}

void call_placer::tick() {
    const auto now = on_.now();
    if (const auto due = delegated_.next_due(); due && *due <= now) {
        take_back(delegated_.take_overdue(now));
    }
}

/// Places calls by what this node knows itself. Their lead, if it lives, is told that it is not to.
void call_placer::take_back(std::span<const fleet::delegated_calls::returned_call> calls) {
    for (const auto& [call, lead] : calls) {
        view_.counters.increment("placements_total", "lead_silent");
        on_.send(lead, placement_end_frame({call.number, send_outcome::none}));
        submit_here(call, {});
    }
}

} // namespace dragonflystair::gateway
