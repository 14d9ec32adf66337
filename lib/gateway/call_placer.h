#pragma once

#include "dragonflystair/fleet/delegated_calls.h"
#include "dragonflystair/fleet/dispatcher.h"
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

/// Finds an endpoint for each call. Calls for engines go to the lead of the own data centre, the
/// holder of its placement lease, which may be this node. A lead places them itself, with its own,
/// or asks the lead of a data centre that has their adapter. Calls for plain services, and those
/// whose lead does not answer, are placed by this node's own dispatcher.
class call_placer {
public:
    struct hooks {
        std::function<bool(std::string_view peer, const support::json& frame)> send;
        /// Incarnation of the node that leads a data centre; empty if none is known to.
        std::function<std::string(std::string_view data_centre)> lead;
        /// Incarnation of the lead that calls of this node go to; empty if none is in touch.
        std::function<std::string()> nearest_lead;
        /// Hands a decision to one of this node's own calls.
        std::function<void(const fleet::dispatch_decision& decision)> decide;
        std::function<void()> pump; ///< Lets the dispatcher place calls.
        std::function<support::time_point()> now;
    };

    call_placer(node_view& view, hooks callbacks) : view_(view), on_(std::move(callbacks)) {}

    // For calls of this node.
    void submit(fleet::pending_call call);
    /// Frees the call's place; it may go to another endpoint.
    void retry(std::uint64_t number, send_outcome outcome);
    void on_started(std::uint64_t number);
    /// The call has ended, whatever state it was in.
    void finish(std::uint64_t number, send_outcome outcome);

    /// Takes decisions of the dispatcher to those who wait for them.
    void on_decision(const fleet::dispatch_decision& decision);
    /// Takes back calls whose lead does not answer. Runs every few tens of milliseconds.
    void tick();

    // Frames of peers.
    void on_asked(std::string_view peer, const support::json& frame);
    void on_answer(const support::json& frame);
    void on_peer_started(std::string_view peer, const support::json& frame);
    void on_peer_end(std::string_view peer, const support::json& frame);
    void on_peer_down(std::string_view peer);

private:
    /// A call of a peer that this node places.
    struct peer_call {
        std::string peer;
        std::uint64_t number = 0; ///< Chosen by the peer.
        bool decided = false;
        std::string endpoint; ///< Empty until it is placed.
        fleet::model_name model;
    };

    void place(fleet::pending_call call, std::string_view passed);
    void ask(fleet::pending_call call, const std::string& lead, const std::string& data_centre);
    void submit_here(fleet::pending_call call, const std::string& data_centre);
    void decide(const fleet::dispatch_decision& decision);
    void decide_for_peer(peer_call& item, const fleet::dispatch_decision& decision);
    void take_back(std::span<const fleet::delegated_calls::returned_call> calls);
    [[nodiscard]] std::optional<std::uint64_t> served_number(std::string_view peer,
                                                             const support::json& frame) const;
    void end_served(std::uint64_t number, send_outcome outcome);

    node_view& view_;
    hooks on_;
    fleet::delegated_calls delegated_;
    /// Calls that this node's dispatcher places as a lead and that may pass on.
    std::map<std::uint64_t, fleet::pending_call> passing_;
    std::map<std::uint64_t, peer_call> served_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> served_numbers_;
    std::uint64_t last_served_ = 0;
};

} // namespace dragonflystair::gateway
