#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::support {

/// Thread-safe counters and gauges, rendered in the Prometheus text format. A counter is identified
/// by a family and an optional reason, such as family `refusals_total` and reason `queue_full`.
class counters {
public:
    counters();
    ~counters();
    counters(const counters&) = delete;
    counters& operator=(const counters&) = delete;

    void increment(std::string_view family, std::string_view reason = {}, std::uint64_t by = 1);
    void set_gauge(std::string_view family, double value);

    /// Returns the value of a counter; 0 if it was never incremented.
    [[nodiscard]] std::uint64_t value(std::string_view family, std::string_view reason = {}) const;

    /// Returns all counters and gauges in the Prometheus text format, with the prefix
    /// `dragonflystair_`.
    [[nodiscard]] std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::support
