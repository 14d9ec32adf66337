#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

struct peer_settings {
    std::string name;                                 ///< Name of this node, sent to peers.
    std::string incarnation;                          ///< Changes with each start.
    std::string secret;                               ///< Shared by all nodes.
    std::chrono::milliseconds silence_timeout{3'000}; ///< Closes a link that receives no frame.
    std::chrono::milliseconds redial_period{500};     ///< Jittered by a factor of 0.5 to 1.5.
    std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
    /// A link with more queued outgoing bytes is closed, since its peer does not read.
    std::size_t max_queued_bytes = std::size_t{32} * 1024 * 1024;
    /// Accepted links whose peer has not proved yet that it has the secret. At this limit, the
    /// oldest is closed if it is slow, and no others are accepted meanwhile.
    std::size_t max_handshakes = 128;
};

/// TCP links to the other nodes. A frame is a 4-byte big-endian length and a msgpack map. Both
/// sides prove that they have the shared secret before any other frame is accepted. A link is
/// identified by the peer's incarnation.
///
/// Two nodes keep one link, which carries frames both ways. If they dial each other, the one with
/// the smaller name decides: it sends `admit` on the first authenticated link and `duplicate` on
/// any other. No frame is sent before `admit`, so the choice neither loses nor reorders frames.
///
/// The counters are `peer_refusals_total` (`bad_proof`, `handshake_timeout`, `handshake_closed`,
/// `oversized_frame`, `malformed_frame`, `unexpected_frame`) and `peer_links_closed_total`
/// (`silent`, `queue_full`). The counters must outlive the context's threads.
class peer_network {
public:
    /// Hooks run on the strands of the links. For each peer they run in the order `on_up`,
    /// `on_frame` for its frames in order, `on_down`. An exception that leaves a hook is counted
    /// under `peer_hook_errors_total`. After `stop` no hook starts, but one that has started may
    /// still run.
    struct hooks {
        std::function<void(std::string_view peer, const support::json& frame)> on_frame;
        std::function<void(std::string_view peer)> on_up;
        std::function<void(std::string_view peer)> on_down;
    };

    /// Binds immediately; port 0 lets the OS choose a port. Throws boost::system::system_error.
    peer_network(executor context, std::string_view address, peer_settings settings,
                 hooks callbacks, support::counters& counters);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    [[nodiscard]] std::string address() const;
    void start();
    void stop();

    /// Sets the addresses to which this node keeps links. Other addresses are no longer dialled,
    /// but their existing links stay open. An address that turns out to be this node's own is not
    /// dialled again.
    void dial(const std::vector<std::string>& addresses);

    /// Enqueues a frame. Returns false if there is no link to the peer or the frame exceeds the
    /// size limit. Frames to one peer keep their order. True does not mean that the peer has
    /// received it.
    bool send(std::string_view peer, const support::json& frame);
    /// Enqueues one frame for several peers; skips those without a link.
    void send_each(std::span<const std::string> peers, const support::json& frame);
    void broadcast(const support::json& frame);

    /// Returns the incarnations of the peers with an authenticated link.
    [[nodiscard]] std::vector<std::string> connected() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
