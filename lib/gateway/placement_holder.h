#pragma once

#include "dragonflystair/fleet/adapter_planner.h"
#include "dragonflystair/fleet/placement_lease.h"

#include "node_view.h"
#include "platform/endpoint_client.h"
#include "platform/store_client.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace dragonflystair::gateway {

/// This node's part in the placement lease of one data centre: renews or tries to get it, and while
/// it holds it, gives the engines there the orders that the planner decides on.
class placement_holder : public std::enable_shared_from_this<placement_holder> {
public:
    struct hooks {
        /// What engines hold has changed.
        std::function<void(std::span<const fleet::residency_change>)> on_changes;
        std::function<std::size_t()> rank; ///< This node's place among the candidates.
        std::function<bool()> linked;      ///< Whether a peer would report a newer holder.
        std::function<void()> on_lease;    ///< The lease was won or lost.
    };

    placement_holder(node_view& view, platform::store_client& store,
                     platform::endpoint_client& engines, std::string data_centre, hooks callbacks);

    /// Renews the lease, or tries to get it, when that is due.
    void tick();
    /// Gives the orders that are due.
    void pump();
    /// Leaves the group, so that another node follows at once.
    net::awaitable<void> leave();

    [[nodiscard]] fleet::adapter_planner& planner() { return planner_; }
    [[nodiscard]] fleet::placement_lease& lease() { return lease_; }
    [[nodiscard]] bool active() const;
    [[nodiscard]] const std::string& data_centre() const { return data_centre_; }

private:
    net::awaitable<void> join();
    net::awaitable<void> leave_group();
    net::awaitable<void> carry_out(fleet::planned_order order);
    net::awaitable<void> ask(fleet::planned_order order);
    void note_lease(bool held_before);
    void note_order(const fleet::planned_order& order, std::string_view result);
    void publish();
    void note_unmet();
    void schedule_pump();
    [[nodiscard]] std::string group() const { return "placement." + data_centre_; }

    node_view& view_;
    platform::store_client& store_;
    platform::endpoint_client& engines_;
    std::string data_centre_;
    std::string member_;
    hooks on_;
    fleet::placement_lease lease_;
    fleet::adapter_planner planner_;
    bool joining_ = false;
    boost::asio::steady_timer pump_timer_;
};

} // namespace dragonflystair::gateway
