#pragma once

#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/fleet/announced_limits.h"
#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/configuration_freshness.h"
#include "dragonflystair/fleet/crash_observer.h"
#include "dragonflystair/fleet/crash_suspects.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/endpoint_backoff.h"
#include "dragonflystair/fleet/key_directory.h"
#include "dragonflystair/fleet/quota_wallet.h"
#include "dragonflystair/fleet/retry_allowance.h"
#include "dragonflystair/fleet/send_permits.h"
#include "dragonflystair/fleet/topology.h"
#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/exchange_client.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/latency_histogram.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::gateway {

/// State that the components of a gateway share: its settings, its clients and its view of the
/// system. Used only on the gateway's single thread, so there are no locks.
struct node_view {
    config::gateway_settings settings;
    std::string incarnation;
    net::executor executor;
    fleet::topology topology;
    support::counters& counters;
    support::latency_histogram& first_byte_latency;

    std::shared_ptr<const fleet::configuration> configuration; ///< Null until one is received.
    fleet::dispatcher dispatcher;
    fleet::retry_allowance retries;
    fleet::endpoint_backoff backoff;
    net::exchange_client endpoints;
    /// Number of registered nodes, or of this node and its connected peers if that is larger.
    std::size_t live_nodes = 1;
    bool stopping = false;
    fleet::announced_limits limits{}; ///< Rate limits that endpoints name.
    fleet::send_permits permits{{}};  ///< Permits for those endpoints.
    fleet::crash_observer crashes{};  ///< Crashes of endpoints, from this node's connections.
    fleet::crash_suspects suspects{}; ///< What crashes endpoints, from the reports of all nodes.
    fleet::key_directory keys{};      ///< Keys of the configuration in force.
    fleet::configuration_freshness freshness{std::nullopt};
    fleet::quota_wallet quotas{}; ///< This node's tokens of the tenants' quotas.

    /// Returns whether the backoff of an endpoint allows sending to it, according to the responses
    /// that this node itself has received.
    [[nodiscard]] bool may_send(std::string_view endpoint, support::time_point now) const {
        const auto* record = dispatcher.find(endpoint);
        return record == nullptr || backoff.allows(endpoint, record->started_ms, now);
    }

    /// Counts a request that this node sends to an endpoint.
    void note_sent(std::string_view endpoint, fleet::request_kind kind) {
        counters.increment("endpoint_requests_total", fleet::to_string(kind));
        limits.on_sent(endpoint, kind);
    }
};

} // namespace dragonflystair::gateway
