#pragma once

#include "peer_link.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

/// The link in use for each peer, by incarnation. Safe from any thread.
class peer_table {
public:
    /// Registers the link and returns true, unless the peer already has one. `first`, if any, is
    /// enqueued before any frame of another thread.
    bool add(const std::string& peer, const std::shared_ptr<peer_link>& link,
             const frame_bytes& first);

    /// Removes the link if it is the one in use.
    void remove(const std::string& peer, const std::shared_ptr<peer_link>& link);

    [[nodiscard]] std::shared_ptr<peer_link> find(std::string_view peer) const;
    [[nodiscard]] bool contains(std::string_view peer) const { return find(peer) != nullptr; }

    /// Returns the peers whose link is not closed.
    [[nodiscard]] std::vector<std::string> peers() const;
    /// Returns all links, including closed ones that are not removed yet.
    [[nodiscard]] std::vector<std::shared_ptr<peer_link>> links() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<peer_link>, std::less<>> links_;
};

} // namespace dragonflystair::net
