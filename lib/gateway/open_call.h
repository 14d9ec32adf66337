#pragma once

#include "dragonflystair/fleet/call.h"
#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/net/exchange_client.h"
#include "dragonflystair/support/time.h"

#include "placement_frames.h"
#include "wakeup.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace dragonflystair::gateway {

/// One caller's call from its arrival to its final answer.
struct open_call {
    explicit open_call(const net::executor& context) : changed(context) {}

    std::uint64_t number = 0;
    fleet::call_request request;
    std::shared_ptr<const fleet::configuration> configuration; ///< In force at the arrival.
    const fleet::route* route = nullptr;                       ///< Belongs to the configuration.
    std::string service;
    std::uint64_t fingerprint = 0;
    support::time_point arrived;
    support::time_point answer_by;     ///< The final answer is due.
    support::duration placed_after{};  ///< From the arrival to the last decision of the dispatcher.
    support::duration first_after{};   ///< From the arrival to the first byte of an answer.
    support::duration longest_pause{}; ///< Between two pieces of a stream.
    support::time_point last_piece;
    std::optional<fleet::dispatch_decision> decision;
    std::shared_ptr<net::exchange> exchange;
    std::size_t sends = 0;              ///< Endpoints that it was sent to.
    std::size_t runs = 0;               ///< Of these, those that may have run it.
    support::time_point sent_at;        ///< The last send.
    std::uint64_t endpoint_started = 0; ///< Start of the endpoint that it was sent to last.
    send_outcome last_send = send_outcome::none;
    bool caller_gone = false;
    wakeup changed;
};

} // namespace dragonflystair::gateway
