#pragma once

#include "dragonflystair/config/deployment.h"
#include "dragonflystair/membership/endpoint_view.h"
#include "dragonflystair/membership/grant_planner.h"
#include "dragonflystair/policy/endpoint_health.h"
#include "dragonflystair/policy/endpoint_scheduler.h"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::node {

/// State of an endpoint on this node, with the last load report of its owner.
struct endpoint_row {
    membership::endpoint_status status;
    std::string reporter; ///< Incarnation of the owner that sent the last report.
    std::optional<policy::endpoint_load> load;
    /// Attempts of this node in flight; if `load` is set, counted from that report on.
    std::size_t own_in_flight = 0;
    double health = 1.0;
    /// Time since this node first saw the endpoint as leaving; 0 if it is not leaving.
    support::duration leaving_for{0};

    /// Returns true while new requests may still be dispatched to a leaving endpoint for adapters
    /// that are resident on no other endpoint.
    [[nodiscard]] bool in_leaving_grace() const;
};

/// Time during which a leaving endpoint still receives new requests while its adapters are loaded
/// on other endpoints. Without it, all its adapters would become cold at the same moment.
inline constexpr std::chrono::milliseconds leaving_grace{3'000};

/// Thread-safe table of endpoints, built from the VM list, the deployment, load reports of owners,
/// and the outcome of this node's own calls.
class endpoint_directory {
public:
    /// A load report older than this is ignored, including its list of resident adapters.
    static constexpr std::chrono::milliseconds report_lifetime{5'000};

    void update_list(std::span<const membership::listed_vm> vms, support::time_point now);
    void update_deployment(const config::deployment& deployment, support::time_point now);
    void on_report(const std::string& endpoint, const std::string& reporter,
                   policy::endpoint_load load, support::time_point now);
    void on_peer_reported_leaving(const std::string& endpoint, support::time_point now);

    void on_attempt_begin(const std::string& endpoint);
    void on_attempt_end(const std::string& endpoint);
    /// Adds a latency sample: the time of one token, or of a whole call to a plain service. The
    /// endpoint's health depends on the ratio of its samples to the median of its service.
    void on_latency(const std::string& endpoint, support::duration step, support::time_point now);
    void on_failure(const std::string& endpoint, support::time_point now);

    [[nodiscard]] std::vector<endpoint_row> of_service(std::string_view service,
                                                       support::time_point now) const;
    [[nodiscard]] std::vector<endpoint_row> all(support::time_point now) const;
    [[nodiscard]] std::optional<endpoint_row> find(std::string_view endpoint,
                                                   support::time_point now) const;
    [[nodiscard]] std::vector<std::string> leaving() const;

    /// Returns the endpoints of model services that are not gone. Leaving ones are included, since
    /// their running requests need an owner until they have finished.
    [[nodiscard]] std::vector<membership::ownable_resource>
    ownables(const config::deployment& deployment, support::time_point now) const;

private:
    struct report {
        std::string reporter;
        policy::endpoint_load load;
        support::time_point received_at;
        std::size_t attempts_since_report = 0;
    };
    void update_leaving_since(support::time_point now);
    double relative_to_median(const std::string& service, double seconds);
    [[nodiscard]] endpoint_row row_of(membership::endpoint_status status,
                                      support::time_point now) const;

    mutable std::mutex mutex_;
    membership::endpoint_view view_;
    policy::endpoint_health health_;
    /// Estimated median of the latency samples of each service.
    std::map<std::string, double> median_seconds_;
    std::set<std::string, std::less<>> plain_services_;
    std::map<std::string, report, std::less<>> reports_;
    std::map<std::string, std::size_t, std::less<>> in_flight_;
    std::map<std::string, support::time_point, std::less<>> leaving_since_;
};

} // namespace dragonflystair::node
