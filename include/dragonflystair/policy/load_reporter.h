#pragma once

#include "dragonflystair/policy/endpoint_scheduler.h"

#include <chrono>
#include <optional>

namespace dragonflystair::policy {

/// Decides when the owner of an endpoint publishes its load to the entry nodes: early when the load
/// has changed so much that routing decisions would differ, otherwise periodically. With one report
/// per second only, most of the wait of short requests came from routing by stale reports.
class load_reporter {
public:
    static constexpr std::chrono::milliseconds min_report_interval{100};
    static constexpr std::chrono::milliseconds default_report_interval{1'000};

    /// Returns whether to publish the load now. The owner must call this after each change and at
    /// least once per `min_report_interval`, and must publish if the result is true.
    bool due(const endpoint_load& load, support::time_point now);

private:
    endpoint_load last_;
    std::optional<support::time_point> last_sent_;
};

} // namespace dragonflystair::policy
