#pragma once

#include "call_event.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace dragonflystair::node {

/// Attempts that this node has sent to other nodes, by id. Events are matched by attempt id only.
class attempt_registry {
public:
    /// Registers an attempt sent to `peer`; `sink` receives its events.
    void add(std::string id, std::string peer, call_sink sink);
    void remove(std::string_view id);

    /// Passes an event to its attempt's sink. Returns false if the attempt is not registered.
    bool deliver(std::string_view id, call_event event);

    /// Ends all attempts on a peer as interrupted after the link to it has failed.
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
