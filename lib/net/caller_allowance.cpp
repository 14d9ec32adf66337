#include "dragonflystair/net/caller_allowance.h"

#include <sys/resource.h>

#include <algorithm>

namespace dragonflystair::net {

namespace {

constexpr std::size_t bytes_per_kb = 1024;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

/// Part of the VM's memory that callers may make the process hold. The remaining three quarters are
/// for the process without callers, what it holds for endpoints and the fragmentation of its heap.
constexpr std::size_t held_share = 4;
/// Part of the budget that idle connections of callers may take.
constexpr std::size_t idle_share = 2;
/// Memory of an idle connection, rounded up.
constexpr std::size_t idle_connection_bytes = std::size_t{16} * 1024;

/// Part of the descriptors for handshakes of peers.
constexpr std::size_t handshake_descriptor_share = 16;
constexpr std::size_t max_handshakes = 128;

} // namespace

caller_allowance allowance_of(const config::caller_limits& limits, std::size_t default_held_bytes,
                              std::size_t open_limit) {
    caller_allowance out{default_held_bytes, open_limit};
    if (limits.held_mb > 0) {
        out.held_bytes = limits.held_mb * bytes_per_mb;
    } else if (limits.memory_mb >= 1) {
        out.held_bytes = static_cast<std::size_t>(limits.memory_mb) * bytes_per_mb / held_share;
    }
    if (limits.descriptors >= 1) {
        out.descriptors = std::min(open_limit, static_cast<std::size_t>(limits.descriptors));
    }
    return out;
}

std::size_t system_open_limit() {
    constexpr std::size_t most = 1'000'000;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return most;
    }
    return std::min<std::size_t>(most, limit.rlim_cur);
}

http_server_capacity caller_capacity(const config::caller_limits& limits,
                                     const caller_allowance& allowance, std::size_t held_bytes,
                                     std::size_t descriptor_share) {
    http_server_capacity out;
    out.held_bytes = held_bytes;
    out.connections = limits.connections;
    if (out.connections == 0) {
        out.connections = std::max<std::size_t>(
            1, std::min(allowance.descriptors / descriptor_share,
                        allowance.held_bytes / idle_share / idle_connection_bytes));
    }
    out.connections_per_address = limits.connections_per_address;
    return out;
}

std::size_t handshakes_of(const caller_allowance& allowance) {
    return std::clamp<std::size_t>(allowance.descriptors / handshake_descriptor_share,
                                   min_listener_connections, max_handshakes);
}

http_server_limits request_limits_of(const config::caller_limits& limits) {
    http_server_limits out;
    out.header_fields = limits.header_fields;
    out.min_body_rate = limits.min_body_rate_kb * bytes_per_kb;
    return out;
}

} // namespace dragonflystair::net
