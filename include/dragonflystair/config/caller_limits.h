#pragma once

#include <cstddef>

namespace dragonflystair::config {

/// Limits on what callers may make a process hold, and the resources from which they derive.
struct caller_limits {
    double memory_mb = 0;   ///< Memory of the VM in MB; 0 if unknown.
    double descriptors = 0; ///< Descriptors that the process may open; 0 if unknown.
    /// Bytes that callers may make the process hold, in MB; 0 derives them from `memory_mb`.
    std::size_t held_mb = 0;
    /// Connections of callers; 0 derives their number from `descriptors` and `held_mb`.
    std::size_t connections = 0;
    std::size_t connections_per_address = 0; ///< Connections of one caller address; 0: no limit.
    std::size_t header_fields = 256;         ///< Header fields of a request.
    std::size_t min_body_rate_kb = 16;       ///< KiB per second of a body in transfer.

    bool operator==(const caller_limits&) const = default;
};

} // namespace dragonflystair::config
