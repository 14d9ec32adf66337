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

/// One endpoint as the entry node knows it.
struct route_candidate {
    std::string endpoint;
    bool resident = false; ///< The owner reported the adapter as resident.
    bool same_region = true;
    bool suspected = false;        ///< Heartbeats are missing; used only if nothing else is left.
    std::size_t own_in_flight = 0; ///< Sent by this node since the owner's last report.
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t batch_limit = 16;
    std::chrono::milliseconds expected_wait{0};
    double health = 1.0; ///< Weight of `endpoint_health`, 0 to 1.
};

struct router_limits {
    std::chrono::milliseconds cross_region_penalty{80};
    std::chrono::milliseconds load_time{250};
    std::chrono::milliseconds spill_margin{150}; ///< Resident wait above load time that spills.
};

/// Chosen endpoint; `needs_load` if it does not hold the adapter.
struct route {
    std::string endpoint;
    bool needs_load = false;
};

/// Chooses an endpoint for a request on the entry node. Pure but for the random source.
class router {
public:
    explicit router(router_limits limits) : limits_(limits) {}

    /// Nothing if there is no candidate. `excluded` endpoints were tried already.
    [[nodiscard]] std::optional<route> choose(std::string_view adapter,
                                              std::span<const route_candidate> candidates,
                                              std::span<const std::string> excluded,
                                              std::mt19937_64& random) const;

private:
    router_limits limits_;
};

} // namespace dragonflystair::policy
