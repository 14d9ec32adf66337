#pragma once

#include "dragonflystair/config/settings.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/peer_network.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace dragonflystair::node {

/// Capacity of the listeners of a node, which share the memory and the descriptors of its VM. What
/// they leave is for the log, links to peers, endpoints and the process itself.
struct listener_capacity {
    net::http_server_capacity callers;
    net::http_server_capacity operators;
    std::size_t peer_handshakes = 0; ///< Accepted links that are not authenticated yet.
};

/// Derives the capacities from the settings. `open_limit` is the largest number of descriptors that
/// the system lets the process open.
listener_capacity capacity_of(const config::settings& settings, std::size_t open_limit);

/// Returns the limits of the operator listener. A text has room in the listener's share.
net::http_server_limits operator_limits_of(const config::settings& settings);

/// Responds to a request whose body has not arrived yet, as in `net::http_server_options`.
using head_check = std::function<std::optional<net::http_response>(const net::http_request& head)>;

net::http_server_options caller_options_of(const config::settings& settings, head_check check);
net::http_server_options operator_options_of(const config::settings& settings, head_check check);

net::peer_settings peer_settings_of(const config::settings& settings,
                                    const std::string& incarnation);

} // namespace dragonflystair::node
