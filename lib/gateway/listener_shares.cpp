#include "listener_shares.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace dragonflystair::gateway {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

/// Part of the VM's memory that callers may make the process hold. The remaining three quarters are
/// for the process without callers, what it holds for endpoints and the fragmentation of its heap.
constexpr std::size_t held_share = 4;
/// Budget of a VM of unknown memory.
constexpr std::size_t default_held_bytes = 64 * bytes_per_mb;
/// Part of the budget of each of the ready, resolve and metrics listeners.
constexpr std::size_t other_held_share = 32;
/// Part of the budget that idle connections of callers may take.
constexpr std::size_t idle_share = 2;
/// Memory of an idle connection, rounded up.
constexpr std::size_t idle_connection_bytes = std::size_t{16} * 1024;

/// Parts of the descriptors: half for callers, 3/32 for the other listeners, 1/16 for handshakes of
/// peers. About a third remains for the store, one link to each peer and the endpoints in use.
constexpr std::size_t caller_descriptor_share = 2;
constexpr std::size_t other_descriptor_share = 32;
constexpr std::size_t handshake_descriptor_share = 16;
constexpr std::size_t min_other_connections = 16;
constexpr std::size_t max_handshakes = 128;

} // namespace

listener_shares shares_of(const config::gateway_settings& settings, std::size_t open_limit) {
    auto held = default_held_bytes;
    if (settings.held_mb > 0) {
        held = settings.held_mb * bytes_per_mb;
    } else if (settings.memory_mb >= 1) {
        held = static_cast<std::size_t>(settings.memory_mb) * bytes_per_mb / held_share;
    }
    auto descriptors = open_limit;
    if (settings.descriptors >= 1) {
        descriptors = std::min(descriptors, static_cast<std::size_t>(settings.descriptors));
    }
    listener_shares out;
    out.other.held_bytes = held / other_held_share;
    out.other.connections = std::max(min_other_connections, descriptors / other_descriptor_share);
    out.callers.held_bytes = held - 3 * out.other.held_bytes;
    out.callers.connections = settings.connections;
    if (out.callers.connections == 0) {
        out.callers.connections =
            std::max<std::size_t>(1, std::min(descriptors / caller_descriptor_share,
                                              held / idle_share / idle_connection_bytes));
    }
    out.callers.connections_per_address = settings.connections_per_address;
    out.peer_handshakes = std::clamp<std::size_t>(descriptors / handshake_descriptor_share,
                                                  min_other_connections, max_handshakes);
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

net::http_server_limits caller_limits_of(const config::gateway_settings& settings) {
    constexpr std::size_t bytes_per_kb = 1024;
    net::http_server_limits limits;
    limits.header_fields = settings.header_fields;
    limits.min_body_rate = settings.min_body_rate_kb * bytes_per_kb;
    return limits;
}

net::http_server_limits other_limits_of(const config::gateway_settings& settings) {
    auto limits = caller_limits_of(settings);
    limits.body_bytes = std::size_t{4} * 1024;
    limits.request_timeout = std::chrono::milliseconds(3'000);
    limits.idle_timeout = std::chrono::milliseconds(15'000);
    // Responses are short and their connections few.
    limits.write_timeout = std::chrono::milliseconds(2'000);
    return limits;
}

net::http_server_options caller_options_of(const config::gateway_settings& settings) {
    net::http_server_options options;
    options.name = "callers";
    options.capacity = shares_of(settings, system_open_limit()).callers;
    return options;
}

net::http_server_options other_options_of(std::string name,
                                          const config::gateway_settings& settings) {
    net::http_server_options options;
    options.name = std::move(name);
    options.capacity = shares_of(settings, system_open_limit()).other;
    return options;
}

net::peer_settings peer_settings_of(const config::gateway_settings& settings,
                                    const std::string& incarnation) {
    net::peer_settings out;
    out.name = settings.name;
    out.incarnation = incarnation;
    out.secret = settings.peer_secret;
    out.silence_timeout = std::chrono::milliseconds(1'500);
    out.max_handshakes = shares_of(settings, system_open_limit()).peer_handshakes;
    return out;
}

} // namespace dragonflystair::gateway
