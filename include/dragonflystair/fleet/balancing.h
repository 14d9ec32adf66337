#pragma once

namespace dragonflystair::fleet {

/// How a dispatcher distributes calls over endpoints of unequal speed.
struct balancing {
    /// Whether forecasts use the learned speed of each endpoint rather than the service's mean.
    bool learned_speed = false;
};

} // namespace dragonflystair::fleet
