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

/// This node's participation in the placement lease of one data centre. Renews the lease or tries
/// to acquire it and, while it holds the lease, sends the planner's orders to the engines there.
class placement_holder : public std::enable_shared_from_this<placement_holder> {
public:
    struct hooks {
        /// Called with changes of the adapters that engines hold.
        std::function<void(std::span<const fleet::residency_change>)> on_changes;
        std::function<std::size_t()> rank; ///< Returns this node's rank among the candidates.
        std::function<bool()> linked;      ///< Returns whether a peer would report a newer holder.
        std::function<void()> lease_changed; ///< Called when the lease is acquired or lost.
        /// Takes the permit for a request to an endpoint. Returns false if its rate limit does not
        /// admit one now.
        std::function<bool(std::string_view endpoint)> take_permit;
    };

    placement_holder(node_view& view, platform::store_client& store,
                     platform::endpoint_client& engines, std::string data_centre, hooks callbacks);

    /// Renews the lease, or tries to acquire it, when that is due.
    void tick();
    /// Sends the orders that are due.
    void pump();
    /// Releases the lease and leaves its group, so that another node can take over immediately.
    net::awaitable<void> leave();

    [[nodiscard]] fleet::adapter_planner& planner() { return planner_; }
    [[nodiscard]] fleet::placement_lease& lease() { return lease_; }
    /// Returns whether this node may send orders now.
    [[nodiscard]] bool active() const;
    [[nodiscard]] const std::string& data_centre() const { return data_centre_; }

private:
    net::awaitable<void> join();
    net::awaitable<void> leave_group();
    net::awaitable<void> run_order(fleet::planned_order order);
    net::awaitable<void> send_order(fleet::planned_order order);
    net::awaitable<void> request_report(fleet::planned_order order);
    void on_report_failed(const fleet::planned_order& order);
    /// Logs and reports a change of the lease since `held_before`. Starts a term of the planner if
    /// the lease was acquired.
    void on_lease_changed(bool held_before);
    void record_order(const fleet::planned_order& order, std::string_view result);
    void publish_changes();
    void record_unmet_demand();
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
    platform::group_membership joined_; ///< The answer to the last join.
    boost::asio::steady_timer pump_timer_;
};

} // namespace dragonflystair::gateway
