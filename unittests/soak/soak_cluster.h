#pragma once

#include "configuration_watch.h"
#include "fault_plan.h"
#include "gateway/store_stand_in.h"
#include "guarantee_checker.h"
#include "soak_endpoint.h"
#include "soak_gateway.h"
#include "tenant_checker.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace dragonflystair::soak {

/// A record that the operator or an endpoint has written.
struct written_record {
    std::string topic;
    std::string key;
    std::string value;
};

/// Four gateways in two data centres, a store, two plain endpoints and three engines. Every
/// connection to the store or an endpoint passes through a relay that can inject network faults.
class soak_cluster {
public:
    /// `one_data_centre` places all gateways together. Nodes of another data centre would pass on
    /// records that a silent reader withholds. `store_era` is the store's first era. `tenants` may
    /// be null; then configurations have no tenants.
    soak_cluster(const net::executor& context, const std::string& program, std::string folder,
                 guarantee_checker& checked, bool one_data_centre, std::uint64_t store_era,
                 tenant_checker* tenants);
    ~soak_cluster();
    soak_cluster(const soak_cluster&) = delete;
    soak_cluster& operator=(const soak_cluster&) = delete;

    /// Publishes a configuration with a higher version; each version replaces the route that the
    /// previous one had added.
    void publish_configuration();
    /// Starts a fault and returns the function that ends it.
    std::function<void()> begin(const fault& item);

    [[nodiscard]] const std::vector<std::unique_ptr<soak_gateway>>& gateways() const {
        return gateways_;
    }
    /// Checks from now on that gateways apply configurations in time and in order. Ends with
    /// `stop`.
    void watch_configurations();
    /// Lets endpoints write heartbeats until `stop`.
    void start_heartbeats();
    /// Returns whether each gateway lists the present run of each endpoint as ready.
    [[nodiscard]] bool endpoints_in_use() const;
    /// Ends all gateway processes; a process that had crashed is reported as a violation.
    void stop();

private:
    struct linked_endpoint {
        std::unique_ptr<soak_endpoint> self;
        std::unique_ptr<scenarios::tcp_relay> link;
        bool restarts_late = false; ///< A fault of kind `late_report` is in effect.
    };

    void add_endpoint(const net::executor& context, const std::string& service,
                      const std::string& name, const std::string& data_centre);
    void write_settings(soak_gateway& item, double retry_slack, std::size_t draw);
    void check_process(const soak_gateway& item);
    void write(const std::string& topic, const std::string& key, const std::string& value);
    void write_locked(const std::string& topic, const std::string& key, const std::string& value);
    net::awaitable<void> write_again(std::vector<written_record> lost, bool newest_only);
    net::awaitable<void> take_copies();
    net::awaitable<void> write_heartbeats();
    net::awaitable<void> leave_beside_late_reports(std::size_t draw, soak_endpoint& target,
                                                   std::string id, std::string former);
    std::function<void()> begin_late_report(const fault& item, linked_endpoint& target);
    std::function<void()> begin_restoration(const fault& item);
    std::function<void()> begin_with_excuse(const fault& item, soak_gateway& target);
    std::function<void()> begin_on_gateway(const fault& item, soak_gateway& target);
    std::function<void()> begin_on_endpoint(const fault& item, linked_endpoint& target);
    void reap(soak_gateway& item);

    net::executor context_;
    std::string folder_;
    guarantee_checker& checked_;
    tenant_checker* tenants_;
    gateway::store_stand_in store_;
    configuration_watch watch_;
    std::mutex write_mutex_;
    bool store_down_ = false;
    std::deque<gateway::store_copy> copies_; ///< Former states of the store, in order.
    std::atomic<bool> copying_{true};
    std::atomic<bool> beating_{true};
    std::set<std::string> written_; ///< Keys since the last restoration.
    std::vector<linked_endpoint> endpoints_;
    std::vector<std::unique_ptr<soak_gateway>> gateways_;
    std::map<const soak_gateway*, int> excusing_faults_; ///< Number that are in effect.
    std::uint64_t version_ = 0;
};

} // namespace dragonflystair::soak
