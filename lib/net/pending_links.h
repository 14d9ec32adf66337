#pragma once

#include "peer_link.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>

namespace dragonflystair::net {

/// The accepted links whose handshake is in progress. Used on the acceptor's strand.
class pending_links {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Time within which a handshake completes, also between regions (20 ms one way) and with a
    /// busy node. At the limit, a link that takes longer is closed.
    static constexpr std::chrono::milliseconds usual_handshake{400};

    explicit pending_links(std::size_t limit) : limit_(limit) {}

    void add(const std::shared_ptr<peer_link>& link, time_point now) {
        links_.push_back({now, link});
    }

    /// Returns whether another link has room. Closes slow ones if it has none.
    bool make_room(time_point now);

private:
    struct entry {
        time_point accepted;
        std::weak_ptr<peer_link> link;
    };

    std::size_t limit_;
    std::deque<entry> links_; ///< In the order of their acceptance.
};

} // namespace dragonflystair::net
