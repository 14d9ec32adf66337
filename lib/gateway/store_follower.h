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

/// Keeps a copy of one topic of the store. One node of a data centre reads it and passes it on to
/// the others, since calls are paid for; a node whose reader is lost reads itself.
class store_follower {
public:
    struct hooks {
        std::function<void(std::span<const fleet::keyed_record>)> on_records;
        std::function<bool()> stopping;
        /// Whether a peer reads the store and passes on what it reads, so that this node need not.
        std::function<bool()> passive;
        /// This node's place among those of its data centre that could read the store. The first
        /// ones try sooner, so that not all call a store at once that has just failed or returned.
        std::function<std::size_t()> reader_rank;
        /// This node has read a page that peers may lack.
        std::function<void(const std::string& topic, const fleet::keyed_page&)> on_page;
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
    /// Whether this node reads the store itself and gets answers.
    [[nodiscard]] bool reads() const { return reachable_ && !on_.passive(); }
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
