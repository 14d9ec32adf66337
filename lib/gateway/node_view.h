#pragma once

#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/endpoint_backoff.h"
#include "dragonflystair/fleet/retry_allowance.h"
#include "dragonflystair/fleet/topology.h"
#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/exchange_client.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/latency_histogram.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// What the parts of a gateway share: its settings, its tools and what it believes. Everything is
/// used on the gateway's one thread, so nothing is locked.
struct node_view {
    config::gateway_settings settings;
    std::string incarnation;
    net::executor executor;
    fleet::topology topology;
    support::counters& counters;
    support::latency_histogram& first_byte_latency;

    std::shared_ptr<const fleet::configuration> configuration; ///< Null until one is known.
    fleet::dispatcher dispatcher;
    fleet::retry_allowance retries;
    fleet::endpoint_backoff backoff;
    net::exchange_client endpoints;
    /// Connections that a call with this fingerprint has lost, here or as peers have said.
    std::map<std::uint64_t, std::size_t> lost_connections;
    std::size_t live_nodes = 1; ///< This one and the peers in touch.
    bool stopping = false;

    /// Whether anything may be sent to an endpoint, as far as it told this node itself.
    [[nodiscard]] bool may_send(std::string_view endpoint, support::time_point now) const {
        const auto* record = dispatcher.find(endpoint);
        return record == nullptr || backoff.allows(endpoint, record->started_ms, now);
    }
};

} // namespace dragonflystair::gateway
