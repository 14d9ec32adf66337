#pragma once

#include "fault_plan.h"
#include "gateway/platform_stand_in.h"
#include "guarantee_checker.h"
#include "soak_endpoint.h"
#include "soak_gateway.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflystair::soak {

/// Four gateways in two data centres, a store, two plain endpoints and three engines. Every
/// connection to the store or an endpoint passes through a relay that can inject network faults.
class soak_cluster {
public:
    /// `one_data_centre` places all gateways together. Nodes of another data centre would pass on
    /// records that a silent reader withholds.
    soak_cluster(const net::executor& context, const std::string& program, std::string folder,
                 guarantee_checker& checked, bool one_data_centre);
    ~soak_cluster();
    soak_cluster(const soak_cluster&) = delete;
    soak_cluster& operator=(const soak_cluster&) = delete;

    /// Starts a fault and returns the function that ends it.
    std::function<void()> begin(const fault& item);

    [[nodiscard]] const std::vector<std::unique_ptr<soak_gateway>>& gateways() const {
        return gateways_;
    }
    /// Ends all gateway processes; a process that had crashed is reported as a violation.
    void stop();

private:
    struct linked_endpoint {
        std::unique_ptr<soak_endpoint> self;
        std::unique_ptr<scenarios::tcp_relay> link;
    };

    void add_endpoint(const net::executor& context, const std::string& service,
                      const std::string& name, const std::string& data_centre);
    void write_settings(soak_gateway& item, double retry_slack);
    void publish_configuration();
    std::function<void()> begin_on_gateway(const fault& item, soak_gateway& target);
    std::function<void()> begin_on_store_link(soak_gateway& target, scenarios::relay_mode mode);
    std::function<void()> begin_on_endpoint(const fault& item, linked_endpoint& target);
    void reap(soak_gateway& item);

    std::string folder_;
    guarantee_checker& checked_;
    gateway::store_stand_in store_;
    std::vector<linked_endpoint> endpoints_;
    std::vector<std::unique_ptr<soak_gateway>> gateways_;
    std::map<const soak_gateway*, int> store_link_faults_; ///< Number that are in effect.
    std::uint64_t version_ = 0;
};

} // namespace dragonflystair::soak
