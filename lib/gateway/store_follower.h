#pragma once

#include "dragonflystair/fleet/record_mirror.h"
#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/time.h"

#include "platform/store_client.h"

#include <chrono>
#include <functional>
#include <span>
#include <string>

namespace dragonflystair::gateway {

/// Keeps a copy of one topic of the store, and takes what peers pass on while the store does not
/// answer this node.
class store_follower {
public:
    struct hooks {
        std::function<void(std::span<const fleet::keyed_record>)> on_records;
        std::function<void(bool reachable)> on_store;
        std::function<bool()> stopping;
    };

    /// `pause` passes between two reads that returned records, so that a topic that changes all the
    /// time does not cost a call for each change.
    store_follower(net::executor context, platform::store_client& store, std::string topic,
                   std::chrono::milliseconds pause, hooks callbacks);

    /// Runs until the node stops.
    net::awaitable<void> run();

    /// Records that a peer passed on.
    void apply(const fleet::keyed_page& page);

    [[nodiscard]] const fleet::record_mirror& mirror() const { return mirror_; }
    [[nodiscard]] bool reachable() const { return reachable_; }
    [[nodiscard]] const std::string& topic() const { return topic_; }

private:
    net::awaitable<bool> resynchronise();
    net::awaitable<bool> read();
    void set_reachable(bool reachable, std::string_view why);
    void publish(const std::vector<fleet::keyed_record>& records);

    net::executor context_;
    platform::store_client& store_;
    std::string topic_;
    std::chrono::milliseconds pause_;
    hooks on_;
    fleet::record_mirror mirror_;
    bool synchronised_ = false;
    bool reachable_ = false;
    bool ever_reached_ = false;
};

} // namespace dragonflystair::gateway
