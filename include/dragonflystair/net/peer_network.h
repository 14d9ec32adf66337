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
    std::string name;                                 ///< Name of this node, told to peers.
    std::string incarnation;                          ///< Changes with each start.
    std::string secret;                               ///< Shared by all nodes.
    std::chrono::milliseconds silence_timeout{3'000}; ///< A link without any frame is closed.
    std::chrono::milliseconds redial_period{500};     ///< Each wait is 0.5 to 1.5 times this.
    std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
    /// A link whose peer does not read is closed.
    std::size_t max_queued_bytes = std::size_t{32} * 1024 * 1024;
};

/// Links to the other nodes: TCP, frames of a 4-byte big-endian length and a msgpack map. Both
/// sides prove the shared secret before any other frame is accepted. A link is named by the peer's
/// incarnation.
///
/// Two nodes keep one link, which carries frames both ways. Of two that dial each other, the one
/// with the smaller name decides: it sends `admit` on the first proven link and `duplicate` on any
/// other. No frame travels before `admit`, so none is lost or reordered by the choice.
///
/// Counted are `peer_refusals_total` (`bad_proof`, `handshake_timeout`, `handshake_closed`,
/// `oversized_frame`, `malformed_frame`, `unexpected_frame`) and `peer_links_closed_total`
/// (`silent`, `queue_full`). The counters must outlive the context's threads.
class peer_network {
public:
    /// Hooks run on the links' strands: for one peer, `on_up`, its frames in order, `on_down`. An
    /// exception that leaves a hook is counted under `peer_hook_errors_total`. After `stop` no hook
    /// starts, but one that has started may still run.
    struct hooks {
        std::function<void(std::string_view peer, const support::json& frame)> on_frame;
        std::function<void(std::string_view peer)> on_up;
        std::function<void(std::string_view peer)> on_down;
    };

    /// Binds at once; port 0 takes a port from the OS. Throws boost::system::system_error.
    peer_network(executor context, std::string_view address, peer_settings settings,
                 hooks callbacks, support::counters& counters);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    [[nodiscard]] std::string address() const;
    void start();
    void stop();

    /// The set of addresses to stay connected to; others are no longer dialled, but their links
    /// stay. An address that turns out to be this node's is not dialled again.
    void dial(const std::vector<std::string>& addresses);

    /// Queues a frame; false if there is no link to the peer or the frame is over the size limit.
    /// Frames to one peer keep their order. True does not mean that the peer has received it.
    bool send(std::string_view peer, const support::json& frame);
    /// Queues one frame for several peers; those without a link are left out.
    void send_each(std::span<const std::string> peers, const support::json& frame);
    void broadcast(const support::json& frame);

    /// Incarnations of the peers with a proven link.
    [[nodiscard]] std::vector<std::string> connected() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
