#pragma once

#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/peer_network.h"

#include <cstddef>
#include <string>

namespace dragonflystair::gateway {

/// Capacity of the listeners of a gateway, which share the memory and the descriptors of its VM.
/// What they leave is for the store, links to peers, endpoints and the process itself.
struct listener_shares {
    net::http_server_capacity callers;
    net::http_server_capacity other; ///< Of the ready, resolve and metrics listeners, each.
    std::size_t peer_handshakes = 0; ///< Accepted links that are not authenticated yet.
};

/// Derives the capacities from the settings. `open_limit` is the largest number of descriptors that
/// the system lets the process open.
listener_shares shares_of(const config::gateway_settings& settings, std::size_t open_limit);

/// Returns the limits of the ready, resolve and metrics listeners, whose requests have no body.
net::http_server_limits other_limits_of(const config::gateway_settings& settings);

/// Returns the options of the caller listener without its check of heads.
net::http_server_options caller_options_of(const config::gateway_settings& settings);

/// Returns the options of the ready, resolve or metrics listener.
net::http_server_options other_options_of(std::string name,
                                          const config::gateway_settings& settings);

net::peer_settings peer_settings_of(const config::gateway_settings& settings,
                                    const std::string& incarnation);

} // namespace dragonflystair::gateway
