#pragma once

#include "dragonflystair/support/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::support {

/// Thread-safe estimate of a latency's quantiles (p50, p95, p99) by Boost.Accumulators.
class latency_summary {
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    void record(duration sample);

    /// Appends the summary in the Prometheus text format, in seconds.
    void render(std::string_view family, std::string& out) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::support
