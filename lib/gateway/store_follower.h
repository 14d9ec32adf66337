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

/// Keeps a copy of one topic of the store. Since calls to the store are billed, one node of a data
/// centre reads the topic and forwards it to the others. A node that loses its reader reads the
/// store itself.
class store_follower {
public:
    struct hooks {
        /// Called with records that are new in the copy.
        std::function<void(std::span<const fleet::keyed_record>)> on_records;
        std::function<bool()> stopping;
        /// Returns whether a peer reads the store and forwards the records, so that this node need
        /// not read it.
        std::function<bool()> passive;
        /// Returns this node's rank among those of its data centre that could read the store. Lower
        /// ranks try sooner, so that the nodes do not all call at the same time a store that has
        /// just failed or recovered.
        std::function<std::size_t()> reader_rank;
        /// Called with a page from the store that peers may lack.
        std::function<void(const std::string& topic, const fleet::keyed_page&)> on_page;
        /// Called when the copy has all records that the store had when it answered a read sent at
        /// `asked`; may be empty.
        std::function<void(support::time_point asked)> on_complete = {};
    };

    struct pacing {
        /// Delay after a read that returned records, so that a topic that changes continuously does
        /// not cost a call for each change.
        std::chrono::milliseconds interval;
        std::chrono::milliseconds wait; ///< Longest time that a read waits for records.
    };

    /// `version_of` reads the versions of the topic's values, if they have any.
    store_follower(net::executor context, platform::store_client& store, std::string topic,
                   pacing chosen, hooks callbacks,
                   fleet::record_mirror::version_reader version_of = {});

    /// Reads the topic until the node stops.
    net::awaitable<void> run();

    /// Applies records that a peer forwarded.
    void apply(const fleet::keyed_page& page);

    /// Reads the topic anew if the copy is of an earlier era of the store and no peer reads it. A
    /// read that waits for records would delay this until its time limit.
    net::awaitable<void> follow_era();

    [[nodiscard]] const fleet::record_mirror& mirror() const { return mirror_; }
    /// Returns false from a failed read of this node until the store answers it, or a peer again.
    [[nodiscard]] bool reachable() const { return reachable_; }
    /// Returns whether this node reads the store itself and gets responses.
    [[nodiscard]] bool reads() const;
    /// Returns the time since the store's last answer to this node.
    [[nodiscard]] std::chrono::milliseconds silence() const;
    [[nodiscard]] const std::string& topic() const { return topic_; }

private:
    net::awaitable<bool> resynchronise();
    net::awaitable<bool> read();
    void set_reachable(bool reachable, std::string_view reason);
    void report_complete(support::time_point asked);
    void deliver(const std::vector<fleet::keyed_record>& records);

    net::executor context_;
    platform::store_client& store_;
    std::string topic_;
    pacing pacing_;
    hooks on_;
    fleet::record_mirror mirror_;
    bool synchronised_ = false;
    bool reachable_ = false;
    bool reachability_logged_ = false;
    support::time_point last_answer_;
};

} // namespace dragonflystair::gateway
