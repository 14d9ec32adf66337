#pragma once

#include "dragonflystair/fleet/adapter_planner.h"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

/// Changes of residency that were not told yet. Under load an engine's adapters come and go faster
/// than others need to hear of it, so only the last state of each is kept.
class residency_batch {
public:
    void add(std::span<const residency_change> changes);

    /// What to tell, in the order of endpoints and adapters; empty if nothing has changed.
    std::vector<residency_change> take();

private:
    std::map<std::pair<std::string, model_name>, residency_change> changes_;
};

} // namespace dragonflystair::fleet
