#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::support {

/// Thread-safe counters and gauges, rendered as Prometheus text. A counter is named by a family and
/// one reason, such as family `refusals_total` and reason `queue_full`.
class counters {
public:
    counters();
    ~counters();
    counters(const counters&) = delete;
    counters& operator=(const counters&) = delete;

    void increment(std::string_view family, std::string_view reason = {}, std::uint64_t by = 1);
    void set_gauge(std::string_view family, double value);

    /// Value of one counter; 0 when it was never incremented.
    [[nodiscard]] std::uint64_t value(std::string_view family, std::string_view reason = {}) const;

    /// All counters and gauges in the Prometheus text format, with the prefix `dragonflystair_`.
    [[nodiscard]] std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::support
