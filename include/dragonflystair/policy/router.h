#pragma once

#include "dragonflystair/policy/request.h"

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::policy {

/// State of one endpoint as last reported to the entry node.
struct route_candidate {
    std::string endpoint;
    bool resident = false; ///< The owner reported the adapter as resident.
    bool same_region = true;
    bool suspected = false; ///< Heartbeats are missing; chosen only if there is no other candidate.
    std::size_t own_in_flight = 0; ///< Sent by this node since the owner's last report.
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t batch_limit = 16;
    std::chrono::milliseconds expected_wait{0};
    double health = 1.0; ///< Weight from `endpoint_health`, 0 to 1.
};

struct router_limits {
    /// Cost added for an endpoint in another region.
    std::chrono::milliseconds cross_region_penalty{80};
    /// Cost added for an endpoint that has to load the adapter.
    std::chrono::milliseconds load_time{250};
    /// Excess of the resident endpoints' cost over a load's at which the request goes to an
    /// endpoint that must load the adapter.
    std::chrono::milliseconds spill_margin{150};
};

/// The chosen endpoint. `needs_load` is set if the adapter is not resident there.
struct route {
    std::string endpoint;
    bool needs_load = false;
};

/// Chooses an endpoint for a request on its entry node. Deterministic but for the random source.
class router {
public:
    explicit router(router_limits limits) : limits_(limits) {}

    /// Returns nothing if there is no usable candidate. `excluded` lists endpoints that were
    /// already tried.
    [[nodiscard]] std::optional<route> choose(std::string_view adapter,
                                              std::span<const route_candidate> candidates,
                                              std::span<const std::string> excluded,
                                              std::mt19937_64& random) const;

private:
    router_limits limits_;
};

} // namespace dragonflystair::policy
