#include "server_options.h"

#include "dragonflystair/net/caller_allowance.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::node {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

/// Budget of a VM of unknown memory: 256 MB for callers and 64 MB for operators.
constexpr std::size_t default_held_bytes = 320 * bytes_per_mb;
/// Part of the budget for operators, so that they can act while callers are many.
constexpr std::size_t operator_held_share = 5;

/// Parts of the descriptors: a third for callers, 1/16 each for operators and for handshakes of
/// peers. A call that is served may need a connection to an endpoint, which is another third. About
/// a fifth remains for the log and one link to each peer.
constexpr std::size_t caller_descriptor_share = 3;
constexpr std::size_t operator_descriptor_share = 16;
constexpr std::size_t max_operator_connections = 128;

/// Largest text of a deployment: one with 23,000 adapters has about 1.5 MB.
constexpr std::size_t max_text_bytes = 16 * bytes_per_mb;
/// Part of a listener's bytes that is reserved for requests that are being served, as in
/// `net::http_server_capacity`.
constexpr std::size_t reserved_share = 4;
/// Room for what a request holds beside its body.
constexpr std::size_t head_bytes = std::size_t{64} * 1024;

} // namespace

listener_capacity capacity_of(const config::settings& settings, std::size_t open_limit) {
    const auto allowance = net::allowance_of(settings.callers, default_held_bytes, open_limit);
    listener_capacity out;
    out.operators.held_bytes = allowance.held_bytes / operator_held_share;
    out.operators.connections = std::clamp(allowance.descriptors / operator_descriptor_share,
                                           net::min_listener_connections, max_operator_connections);
    out.callers = net::caller_capacity(settings.callers, allowance,
                                       allowance.held_bytes - out.operators.held_bytes,
                                       caller_descriptor_share);
    out.peer_handshakes = net::handshakes_of(allowance);
    return out;
}

net::http_server_limits operator_limits_of(const config::settings& settings) {
    const auto held = capacity_of(settings, net::system_open_limit()).operators.held_bytes;
    const auto arriving = held - held / reserved_share;
    auto limits = net::request_limits_of(settings.callers);
    limits.body_bytes = std::min(max_text_bytes, std::max(arriving, 2 * head_bytes) - head_bytes);
    return limits;
}

net::http_server_options caller_options_of(const config::settings& settings, head_check check) {
    net::http_server_options options;
    options.name = "callers";
    options.capacity = capacity_of(settings, net::system_open_limit()).callers;
    options.check_head = std::move(check);
    return options;
}

net::http_server_options operator_options_of(const config::settings& settings, head_check check) {
    net::http_server_options options;
    options.name = "operators";
    options.capacity = capacity_of(settings, net::system_open_limit()).operators;
    options.check_head = std::move(check);
    return options;
}

net::peer_settings peer_settings_of(const config::settings& settings,
                                    const std::string& incarnation) {
    net::peer_settings out;
    out.name = settings.name;
    out.incarnation = incarnation;
    out.secret = settings.peer_secret;
    out.max_handshakes = capacity_of(settings, net::system_open_limit()).peer_handshakes;
    return out;
}

} // namespace dragonflystair::node
