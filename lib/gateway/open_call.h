#pragma once

#include "dragonflystair/fleet/call.h"
#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/crash_evidence.h"
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

/// State of one caller's call from its arrival to its final response.
struct open_call {
    explicit open_call(const net::executor& context) : changed(context) {}

    std::uint64_t number = 0;
    fleet::call_request request;
    std::shared_ptr<const fleet::configuration> configuration; ///< In force on arrival.
    const fleet::route* route = nullptr;                       ///< Owned by `configuration`.
    std::string service;
    double quota_cost = 0; ///< Of the call, in units of its tenant's quota.
    /// When the call's tokens were taken; empty if they were not or there is no quota.
    std::optional<support::time_point> quota_taken;
    std::string tenant; ///< Empty if the call has none.
    int priority = 0;   ///< Of its tenant, or else of its route.
    fleet::request_traits traits;
    bool tests_block = false; ///< The next send may have blocked traits.
    support::time_point arrived;
    support::time_point answer_by;         ///< Deadline of the final response.
    bool ends_with_node = false;           ///< The node's stop has brought `answer_by` forward.
    support::duration placed_after{};      ///< From arrival to the last dispatcher decision.
    support::duration first_byte_after{};  ///< From arrival to the first byte of a response.
    support::duration longest_chunk_gap{}; ///< Between two chunks of a stream.
    support::time_point last_chunk;
    std::optional<fleet::dispatch_decision> decision;
    std::shared_ptr<net::exchange> exchange;
    std::size_t sends = 0;              ///< Number of sends to endpoints.
    std::size_t runs = 0;               ///< Sends whose endpoint may have run the call.
    support::time_point sent_at;        ///< Time of the last send.
    std::uint64_t endpoint_started = 0; ///< Start time of the endpoint of the last send.
    bool head_sent = false;             ///< The head of a stream has been sent to the caller.
    std::size_t received_bytes = 0;     ///< Of streams, from all sends.
    /// When the stream of the last send began; empty before its first bytes.
    std::optional<support::time_point> stream_began;
    send_outcome last_send = send_outcome::none; ///< Not reported to the placer yet.
    bool caller_gone = false;
    wakeup changed;
};

} // namespace dragonflystair::gateway
