#pragma once

#include "dragonflystair/config/settings.h"
#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/latency_histogram.h"
#include "dragonflystair/support/time.h"

#include <atomic>
#include <string>

namespace dragonflystair::node {

/// Context shared by all components of a node: settings, identity, executor and metrics.
struct node_context {
    config::settings settings;
    std::string incarnation;
    net::executor executor;
    support::counters counters;
    support::latency_histogram first_token_latency;
    support::latency_histogram plain_call_latency;
    /// Set when the node stops; background loops exit at their next iteration.
    std::atomic<bool> stopping = false;

    [[nodiscard]] static support::time_point now() { return support::boot_clock::now(); }
};

} // namespace dragonflystair::node
