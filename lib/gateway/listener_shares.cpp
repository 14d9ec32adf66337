#include "listener_shares.h"

#include "dragonflystair/net/caller_allowance.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::gateway {

namespace {

/// Budget of a VM of unknown memory.
constexpr std::size_t default_held_bytes = std::size_t{64} * 1024 * 1024;
/// Part of the budget of each of the ready, resolve and metrics listeners.
constexpr std::size_t other_held_share = 32;

/// Parts of the descriptors: half for callers, 3/32 for the other listeners, 1/16 for handshakes of
/// peers. About a third remains for the store, one link to each peer and the endpoints in use.
constexpr std::size_t caller_descriptor_share = 2;
constexpr std::size_t other_descriptor_share = 32;

} // namespace

listener_shares shares_of(const config::gateway_settings& settings, std::size_t open_limit) {
    const auto allowance = net::allowance_of(settings.callers, default_held_bytes, open_limit);
    listener_shares out;
    out.other.held_bytes = allowance.held_bytes / other_held_share;
    out.other.connections =
        std::max(net::min_listener_connections, allowance.descriptors / other_descriptor_share);
    out.callers = net::caller_capacity(settings.callers, allowance,
                                       allowance.held_bytes - 3 * out.other.held_bytes,
                                       caller_descriptor_share);
    out.peer_handshakes = net::handshakes_of(allowance);
    return out;
}

net::http_server_limits other_limits_of(const config::gateway_settings& settings) {
    auto limits = net::request_limits_of(settings.callers);
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
    options.capacity = shares_of(settings, net::system_open_limit()).callers;
    return options;
}

net::http_server_options other_options_of(std::string name,
                                          const config::gateway_settings& settings) {
    net::http_server_options options;
    options.name = std::move(name);
    options.capacity = shares_of(settings, net::system_open_limit()).other;
    return options;
}

net::peer_settings peer_settings_of(const config::gateway_settings& settings,
                                    const std::string& incarnation) {
    net::peer_settings out;
    out.name = settings.name;
    out.incarnation = incarnation;
    out.secret = settings.peer_secret;
    out.silence_timeout = std::chrono::milliseconds(1'500);
    out.max_handshakes = shares_of(settings, net::system_open_limit()).peer_handshakes;
    return out;
}

} // namespace dragonflystair::gateway
