#pragma once

#include <cstdint>
#include <optional>

namespace dragonflystair::fleet {

/// How a dispatcher distributes calls over endpoints of unequal speed.
struct balancing {
    /// Whether forecasts use the learned speed of each endpoint rather than the service's mean.
    bool learned_speed = false;
    /// Seed of the random choice between endpoints that reports cannot tell apart. If empty, the
    /// endpoint of least cost is chosen. Has no effect on calls that are placed as a lead.
    std::optional<std::uint64_t> seed;
};

} // namespace dragonflystair::fleet
