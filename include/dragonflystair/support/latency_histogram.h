#pragma once

#include "dragonflystair/support/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::support {

/// Thread-safe histogram of a latency, with bucket bounds that double from 1 ms to 33 s.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    void record(duration sample);

    /// Appends the histogram to `out` in the Prometheus text format, in seconds. Buckets are
    /// cumulative, so those of several nodes can be added up.
    void render(std::string_view family, std::string& out) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::support
