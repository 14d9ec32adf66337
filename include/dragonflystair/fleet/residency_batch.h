#pragma once

#include "dragonflystair/fleet/adapter_planner.h"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

/// Residency changes that are not published yet. Under load, the adapters of an engine change
/// faster than other nodes need to know, so only the last state of each adapter is kept.
class residency_batch {
public:
    void add(std::span<const residency_change> changes);

    /// Removes and returns the changes, ordered by endpoint and adapter.
    std::vector<residency_change> take();

private:
    std::map<std::pair<std::string, model_name>, residency_change> changes_;
};

} // namespace dragonflystair::fleet
