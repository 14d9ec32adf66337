#pragma once

#include "dragonflystair/support/string_hash.h"
#include "dragonflystair/support/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflystair::policy {

/// Routing weight of each endpoint, derived from its latency relative to that of its peers. A slow
/// endpoint loses weight within a few requests. Without new samples the weight recovers over time,
/// so that the endpoint gets requests again and is measured.
class endpoint_health {
public:
    /// Records the latency of one request divided by the expected latency: time to first token for
    /// a stream, total time for a plain call.
    void on_sample(std::string_view endpoint, double relative_latency, support::time_point now);
    /// Records a failed request, which counts as a very slow one.
    void on_failure(std::string_view endpoint, support::time_point now);

    /// Returns a weight from 0 to 1, or 1 for an unknown endpoint.
    [[nodiscard]] double weight(std::string_view endpoint, support::time_point now) const;

    void erase(std::string_view endpoint);

private:
    struct record {
        double slowness = 1;
        support::time_point updated;
    };
    void update_median();

    /// Hashed, since every choice looks up all endpoints of its service.
    std::unordered_map<std::string, record, support::string_hash, std::equal_to<>> records_;
    /// Cached, since every weight of a candidate list is relative to it.
    double median_slowness_ = 1;
};

} // namespace dragonflystair::policy
