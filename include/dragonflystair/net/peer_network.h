#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

struct peer_settings {
    std::string name;                                 ///< Name of this node, told to peers.
    std::string incarnation;                          ///< Changes with each start.
    std::string secret;                               ///< Shared by all nodes.
    std::chrono::milliseconds silence_timeout{3'000}; ///< A link without any frame is closed.
    std::chrono::milliseconds redial_period{500};
    std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_queued_bytes =
        std::size_t{32} * 1024 * 1024; ///< A link whose peer does not read is closed.
};

/// Links to the other nodes: TCP, frames of a 4-byte big-endian length and a msgpack map. Both
/// sides prove the shared secret before any other frame is accepted. A link is named by the peer's
/// incarnation. Two nodes that dial each other keep one link in use, the one dialled by the
/// smaller name; frames are accepted from both.
class peer_network {
public:
    /// Hooks run on the links' strands, so one peer's frames come in order.
    struct hooks {
        std::function<void(std::string_view peer, const support::json& frame)> on_frame;
        std::function<void(std::string_view peer)> on_up;
        std::function<void(std::string_view peer)> on_down;
    };

    /// Binds at once; port 0 takes a port from the OS. Throws boost::system::system_error.
    peer_network(executor context, std::string_view address, peer_settings settings, hooks hooks,
                 support::counters& counters);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    [[nodiscard]] std::string address() const;
    void start();
    void stop();

    /// The set of addresses to stay connected to; others are no longer dialled.
    void dial(std::vector<std::string> addresses);

    /// Queues a frame; false if there is no link to the peer. Frames to one peer keep their order.
    bool send(std::string_view peer, const support::json& frame);
    void broadcast(const support::json& frame);

    /// Incarnations of the peers with a proven link.
    [[nodiscard]] std::vector<std::string> connected() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
