#pragma once

#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflystair::gateway {

/// Outcome of the last send of a call, as reported to the node that placed it.
enum class send_outcome : std::uint8_t {
    none,         ///< The call ended normally, was not sent, or its caller disconnected.
    failed,       ///< The endpoint may have run the call and gave no usable response.
    unreachable,  ///< No connection was established.
    not_resident, ///< The endpoint reported that it does not have the call's adapter.
};

/// A lead's answer to a placement request.
struct placement_answer {
    fleet::dispatch_decision decision;
    bool waiting = false; ///< The call is queued; the decision follows.
};

/// Reports that a call has ended or is placed elsewhere.
struct placement_end {
    std::uint64_t number = 0;
    send_outcome outcome = send_outcome::none;
};

/// Frames between a node and the lead of a data centre, and between leads. A node requests any
/// endpoint from its lead; a lead requests one in the data centre that the call names from the lead
/// there. Times are sent relative to the time of sending, since the nodes' clocks differ. Decoders
/// return `std::nullopt` for a damaged frame.
support::json placement_request_frame(const fleet::pending_call& call, support::time_point now);
std::optional<fleet::pending_call> decode_placement_request(const support::json& frame,
                                                            support::time_point now);

support::json placement_answer_frame(const placement_answer& answer);
std::optional<placement_answer> decode_placement_answer(const support::json& frame);

support::json placement_started_frame(std::uint64_t number);
support::json placement_end_frame(const placement_end& end);
std::optional<placement_end> decode_placement_end(const support::json& frame);

/// Returns the call number in a frame; `std::nullopt` if there is none.
std::optional<std::uint64_t> decode_call_number(const support::json& frame);

} // namespace dragonflystair::gateway
