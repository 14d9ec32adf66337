#pragma once

#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflystair::gateway {

/// What became of a call where it was sent, as far as others should know.
enum class send_outcome : std::uint8_t {
    none,         ///< It ended as it should, or its caller left.
    failed,       ///< The endpoint may have run it and gave no usable answer.
    unreachable,  ///< No connection was made.
    not_resident, ///< The endpoint said that it has not the call's adapter.
};

/// A lead's answer to the question where a call should go.
struct placement_answer {
    fleet::dispatch_decision decision;
    bool waiting = false; ///< No decision yet.
};

/// A call has ended, or goes somewhere else.
struct placement_end {
    std::uint64_t number = 0;
    send_outcome outcome = send_outcome::none;
};

/// Frames between a node and the lead of a data centre, and between leads. A node asks its lead for
/// any endpoint; a lead asks another for one of the data centre that the call names. Times are told
/// as what is left of them, since the nodes' clocks differ. Decoders return nothing for a damaged
/// frame.
support::json placement_frame(const fleet::pending_call& call, support::time_point now);
std::optional<fleet::pending_call> decode_placement(const support::json& frame,
                                                    support::time_point now);

support::json placement_answer_frame(const placement_answer& answer);
std::optional<placement_answer> decode_placement_answer(const support::json& frame);

support::json placement_started_frame(std::uint64_t number);
support::json placement_end_frame(const placement_end& end);
std::optional<placement_end> decode_placement_end(const support::json& frame);

/// Number of the call that a frame names; nothing if it names none.
std::optional<std::uint64_t> decode_call_number(const support::json& frame);

} // namespace dragonflystair::gateway
