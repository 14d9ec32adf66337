#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::policy {

/// Limits of the weight store, as configured by the operators.
struct store_limits {
    double loads_per_second = 6;
    std::size_t concurrent_loads = 3;
    std::size_t transit_limit = 24;
    std::chrono::milliseconds permit_lifetime{5'000};
};

/// A permit to load one adapter from the weight store onto one endpoint.
struct load_permit {
    std::uint64_t number = 0;
    std::string endpoint;
    std::string adapter;
};

/// Distributes the weight store's load rate and concurrency among the owners of all endpoints. Run
/// by the holder of the grant `store`. A new holder grants nothing for one permit lifetime, until
/// the permits of the former holder have expired.
class load_permits {
public:
    static constexpr std::chrono::milliseconds request_lifetime{3'000};

    /// `grant` is the log position of the holder's grant. It makes the permit numbers of two
    /// holders differ, so that a permit of a former holder cannot be returned to this one.
    load_permits(store_limits limits, support::time_point start, std::uint64_t grant = 0);
    ~load_permits();
    load_permits(const load_permits&) = delete;
    load_permits& operator=(const load_permits&) = delete;
    load_permits(load_permits&&) noexcept;
    load_permits& operator=(load_permits&&) noexcept;

    /// Applies changed limits of the configuration.
    void set_limits(store_limits limits);

    /// Requests a permit, or renews a pending request with its new urgency. A request that is not
    /// renewed within `request_lifetime` expires, since its owner is gone.
    void request(std::string_view endpoint, std::string_view adapter, double urgency,
                 support::time_point now);
    /// Withdraws a pending request; an outstanding permit is not affected.
    void withdraw(std::string_view endpoint, std::string_view adapter);

    /// Returns a permit after its load has ended or was given up. `failed` lowers the grant rate,
    /// so that a store in trouble gets fewer loads.
    void return_permit(std::uint64_t number, bool failed, support::time_point now);

    /// Returns the permits granted now, most urgent request first.
    std::vector<load_permit> poll(support::time_point now);

    /// Returns the number of pending requests.
    [[nodiscard]] std::size_t waiting() const;
    /// Returns the number of permits that are neither returned nor expired.
    [[nodiscard]] std::size_t outstanding(support::time_point now) const;

    /// Returns the earliest time at which `poll` may grant a permit; nothing while no request is
    /// pending.
    [[nodiscard]] std::optional<support::time_point> next_wakeup(support::time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::policy
