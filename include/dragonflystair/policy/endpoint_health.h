#pragma once

#include "dragonflystair/support/time.h"

#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Weight of each endpoint from its own latency relative to its peers. A slow endpoint loses weight
/// within a few requests; after a while without samples it drifts back, which probes it.
class endpoint_health {
public:
    /// One latency sample: time to first token, or of a plain call, divided by what was expected.
    void on_sample(std::string_view endpoint, double relative_latency, support::time_point now);
    void on_failure(std::string_view endpoint, support::time_point now);

    /// 0 to 1; 1 for an unknown endpoint.
    [[nodiscard]] double weight(std::string_view endpoint, support::time_point now) const;

    void forget(std::string_view endpoint);

private:
    struct record {
        double slowness = 1;
        support::time_point updated;
    };
    void update_median();

    std::map<std::string, record, std::less<>> records_;
    double median_slowness_ = 1; ///< Kept, since each weight of a candidate list needs it.
};

} // namespace dragonflystair::policy
