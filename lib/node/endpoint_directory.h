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

/// An endpoint as this node sees it: its state and the last report of its owner.
struct endpoint_row {
    membership::endpoint_status status;
    std::string reporter; ///< Incarnation of the owner that sent the last report.
    std::optional<policy::endpoint_load> load;
    std::size_t own_in_flight = 0;
    double health = 1.0;
    /// How long this node has known that the endpoint is leaving; 0 while it is not.
    support::duration leaving_for{0};

    /// True while a leaving endpoint may still get work for adapters that no other endpoint holds.
    [[nodiscard]] bool in_leaving_grace() const;
};

/// Time in which a leaving endpoint's adapters are loaded elsewhere before its new work ends. All
/// its adapters would go cold at once otherwise.
inline constexpr std::chrono::milliseconds leaving_grace{3'000};

/// Shared table of endpoints, from the VM list, the text, peers' reports and own calls.
class endpoint_directory {
public:
    /// A report older than this is no longer used to find resident adapters.
    static constexpr std::chrono::milliseconds report_lifetime{5'000};

    void update_list(std::span<const membership::listed_vm> vms, support::time_point now);
    void update_deployment(const config::deployment& text, support::time_point now);
    void on_report(const std::string& endpoint, const std::string& reporter,
                   policy::endpoint_load load, support::time_point now);
    void on_peer_says_leaving(const std::string& endpoint, support::time_point now);

    void on_attempt_begin(const std::string& endpoint);
    void on_attempt_end(const std::string& endpoint);
    /// Time of one step of an endpoint: a token, or a whole plain call. It counts in relation to
    /// the median of the endpoint's service.
    void on_latency(const std::string& endpoint, support::duration step, support::time_point now);
    void on_failure(const std::string& endpoint, support::time_point now);

    [[nodiscard]] std::vector<endpoint_row> of_service(std::string_view service,
                                                       support::time_point now) const;
    [[nodiscard]] std::vector<endpoint_row> all(support::time_point now) const;
    [[nodiscard]] std::optional<endpoint_row> find(std::string_view endpoint,
                                                   support::time_point now) const;
    [[nodiscard]] std::vector<std::string> leaving() const;

    /// Endpoints of model services that are not gone. Leaving ones are included, since their
    /// running work needs an owner until it has finished.
    [[nodiscard]] std::vector<membership::ownable> ownables(const config::deployment& text,
                                                            support::time_point now) const;

private:
    struct report {
        std::string reporter;
        policy::endpoint_load load;
        support::time_point at;
        std::size_t sent_since = 0;
    };
    void note_leaving(support::time_point now);
    double relative_to_median(const std::string& service, double seconds);
    [[nodiscard]] endpoint_row row_of(membership::endpoint_status status,
                                      support::time_point now) const;

    mutable std::mutex mutex_;
    membership::endpoint_view view_;
    policy::endpoint_health health_;
    std::map<std::string, double> median_seconds_; ///< Of the latency samples of each service.
    std::set<std::string, std::less<>> plain_services_;
    std::map<std::string, report, std::less<>> reports_;
    std::map<std::string, std::size_t, std::less<>> in_flight_;
    std::map<std::string, support::time_point, std::less<>> leaving_since_;
};

} // namespace dragonflystair::node
