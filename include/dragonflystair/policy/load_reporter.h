#pragma once

#include "dragonflystair/policy/endpoint_scheduler.h"

#include <chrono>
#include <optional>

namespace dragonflystair::policy {

/// Decides when an owner reports an endpoint's load to the entry nodes: at once when it has changed
/// so much that routes would differ, otherwise in the usual period. With reports each second only,
/// most of short work's wait came from routes by old reports (docs/experiments.md).
class load_reporter {
public:
    static constexpr std::chrono::milliseconds shortest_period{100};
    static constexpr std::chrono::milliseconds usual_period{1'000};

    /// Whether to report now. The caller asks after changes and at least once in
    /// `shortest_period`, and sends the load if the answer is true.
    bool due(const endpoint_load& load, support::time_point now);

private:
    endpoint_load last_;
    std::optional<support::time_point> sent_;
};

} // namespace dragonflystair::policy
