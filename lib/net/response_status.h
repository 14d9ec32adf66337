#pragma once

namespace dragonflystair::net {

/// Returns whether a client takes a message with this status for a response. HTTP has no statuses
/// outside 100 to 599, and 101 would end HTTP on the connection, which no client here requests.
constexpr bool is_response_status(int status) {
    constexpr int switching_protocols = 101;
    return status >= 100 && status <= 599 && status != switching_protocols;
}

} // namespace dragonflystair::net
