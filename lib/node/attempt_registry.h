#pragma once

#include "call_event.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace dragonflystair::node {

/// The attempts that this node has sent to other nodes, by id. Events are matched by id only.
class attempt_registry {
public:
    void add(std::string id, std::string peer, call_sink sink);
    void remove(std::string_view id);

    /// Passes an event to its attempt; false if the attempt is not known (any more).
    bool deliver(std::string_view id, call_event event);

    /// The link to a peer is down: all attempts there are interrupted.
    void on_peer_down(std::string_view peer);

    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        std::string peer;
        call_sink sink;
    };
    mutable std::mutex mutex_;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace dragonflystair::node
