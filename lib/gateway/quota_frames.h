#pragma once

#include "dragonflystair/fleet/quota_messages.h"
#include "dragonflystair/support/json.h"

#include <cstddef>
#include <optional>
#include <string>

namespace dragonflystair::gateway {

/// A node's request to the allocator of quotas, sent directly or through the lead of its data
/// centre.
struct quota_request_message {
    std::string origin; ///< Incarnation of the requesting node.
    fleet::quota_request request;
};

/// A lead's report of the number of nodes in touch with it, to the allocator of quotas.
struct touch_report {
    std::string data_centre;
    std::size_t nodes = 0;
};

/// Frames of quotas. Decoders return `std::nullopt` if a frame is damaged.
support::json quota_request_frame(const quota_request_message& message);
std::optional<quota_request_message> decode_quota_request(const support::json& frame);

support::json touch_report_frame(const touch_report& report);
/// Returns whether a frame of a quota request is a report of nodes in touch instead.
bool is_touch_report(const support::json& frame);
std::optional<touch_report> decode_touch_report(const support::json& frame);

support::json quota_grant_frame(const fleet::quota_grant& grant);
std::optional<fleet::quota_grant> decode_quota_grant(const support::json& frame);

} // namespace dragonflystair::gateway
