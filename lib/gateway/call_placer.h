#pragma once

#include "dragonflystair/fleet/delegated_calls.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/full_data_centres.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include "node_view.h"
#include "placement_frames.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// Obtains an endpoint for each call. Calls to engines go to the lead of the node's own data
/// centre, the holder of its placement lease, which may be this node. A lead places them with its
/// own dispatcher or sends a request to the lead of a data centre that has their adapter. Calls to
/// plain services take the same way if the setting `plain_calls` is `lead`. Otherwise, and if the
/// lead does not answer, they are placed by this node's own dispatcher.
class call_placer {
public:
    struct hooks {
        /// Queues a frame for a peer. Returns false if that is not possible.
        std::function<bool(std::string_view peer, const support::json& frame)> send;
        /// Returns the incarnation of the node that leads a data centre; empty if there is none.
        std::function<std::string(std::string_view data_centre)> lead;
        /// Returns the incarnation of the lead to which this node's calls go; empty if none is
        /// connected.
        std::function<std::string()> nearest_lead;
        /// Delivers a decision to one of this node's own calls.
        std::function<void(const fleet::dispatch_decision& decision)> deliver_decision;
        std::function<void()> pump; ///< Processes pending dispatcher decisions.
        std::function<support::time_point()> now;
    };

    call_placer(node_view& view, hooks callbacks) : view_(view), on_(std::move(callbacks)) {}

    // This node's own calls.
    /// Places a call; the decision follows by `hooks::deliver_decision`.
    void submit(fleet::pending_call call);
    /// Releases the call's slot and submits the call again, excluding its last endpoint.
    void retry(std::uint64_t number, send_outcome outcome);
    /// Reports that the response of a call has started.
    void on_started(std::uint64_t number);
    /// Ends a call in any state and releases its slot.
    void finish(std::uint64_t number, send_outcome outcome);

    /// Delivers a dispatcher decision to the call of this node or of a peer, or diverts the call to
    /// another data centre.
    void on_decision(const fleet::dispatch_decision& decision);
    /// Places calls locally if their lead does not answer in time. Runs every few tens of
    /// milliseconds.
    void tick();

    // Frames from peers; damaged ones are counted or ignored.
    /// A peer requests an endpoint for one of its calls.
    void on_placement_request(std::string_view peer, const support::json& frame);
    /// A lead answers a request of this node.
    void on_placement_answer(const support::json& frame);
    /// The response of a peer's call has started.
    void on_peer_call_started(std::string_view peer, const support::json& frame);
    /// A peer's call has ended or is placed elsewhere.
    void on_peer_call_end(std::string_view peer, const support::json& frame);
    /// The connection to a peer was lost: releases the slots of its calls and places locally the
    /// calls that wait for its answer.
    void on_peer_down(std::string_view peer);

private:
    /// A call of a peer that this node places.
    struct peer_call {
        std::string peer;
        std::uint64_t number = 0; ///< Assigned by the peer.
        bool decided = false;
        std::string endpoint;           ///< Empty until it is placed.
        std::uint64_t endpoint_run = 0; ///< Start time of the endpoint when the call was placed.
        fleet::model_name model;
    };

    [[nodiscard]] bool is_placed_by_lead(const std::string& service) const;
    void place(fleet::pending_call call, std::string_view full_data_centre);
    [[nodiscard]] std::string data_centre_for(const fleet::pending_call& call,
                                              std::string_view full_data_centre) const;
    void note_room(const placement_answer& answer);
    void request_placement(fleet::pending_call call, const std::string& lead,
                           const std::string& data_centre);
    void submit_locally(fleet::pending_call call, const std::string& data_centre);
    void deliver_decision(const fleet::dispatch_decision& decision);
    void answer_peer(peer_call& call, const fleet::dispatch_decision& decision);
    void reclaim(std::span<const fleet::delegated_calls::returned_call> calls);
    [[nodiscard]] std::optional<std::uint64_t> peer_call_number(std::string_view peer,
                                                                const support::json& frame) const;
    void end_peer_call(std::uint64_t number, send_outcome outcome);
    [[nodiscard]] std::uint64_t run_of(std::string_view endpoint) const;

    node_view& view_;
    hooks on_;
    fleet::delegated_calls delegated_;
    fleet::full_data_centres full_; ///< For plain services.
    /// Calls that this node's dispatcher places as a lead and that may be diverted to another data
    /// centre.
    std::map<std::uint64_t, fleet::pending_call> divertible_;
    std::map<std::uint64_t, peer_call> peer_calls_; ///< By number in the dispatcher.
    /// Numbers of peers' calls in the dispatcher, by peer and by the number that the peer assigned.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> peer_call_numbers_;
    std::uint64_t last_peer_call_ = 0;
};

} // namespace dragonflystair::gateway
