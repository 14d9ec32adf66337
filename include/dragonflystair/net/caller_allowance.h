#pragma once

#include "dragonflystair/config/caller_limits.h"
#include "dragonflystair/net/http_server.h"

#include <cstddef>

namespace dragonflystair::net {

/// What callers may take of the VM of a process. Its listeners divide it among them.
struct caller_allowance {
    std::size_t held_bytes = 0;  ///< Held for callers of all listeners.
    std::size_t descriptors = 0; ///< That the process may open, also for other uses.
};

/// Derives the allowance from the settings. `default_held_bytes` applies to a VM of unknown memory.
/// `open_limit` is the largest number of descriptors that the system lets the process open.
caller_allowance allowance_of(const config::caller_limits& limits, std::size_t default_held_bytes,
                              std::size_t open_limit);

/// Returns the largest number of descriptors that the system lets this process open.
std::size_t system_open_limit();

/// Returns the capacity of the caller listener, which holds at most `held_bytes` of the allowance
/// and, if the settings do not say otherwise, has 1 / `descriptor_share` of the descriptors.
http_server_capacity caller_capacity(const config::caller_limits& limits,
                                     const caller_allowance& allowance, std::size_t held_bytes,
                                     std::size_t descriptor_share);

/// Returns the number of accepted links of peers that may be unauthenticated.
std::size_t handshakes_of(const caller_allowance& allowance);

/// Fewest connections of a listener for which no number is set, also with very few descriptors.
inline constexpr std::size_t min_listener_connections = 16;

/// Returns the limits of requests of callers.
http_server_limits request_limits_of(const config::caller_limits& limits);

} // namespace dragonflystair::net
