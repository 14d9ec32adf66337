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

/// Limits of the weight store, from the operators' text.
struct store_limits {
    double loads_per_second = 6;
    std::size_t concurrent_loads = 3;
    std::size_t transit_limit = 24;
    std::chrono::milliseconds permit_lifetime{5'000};
};

/// A permit for one load on one endpoint.
struct load_permit {
    std::uint64_t number = 0;
    std::string endpoint;
    std::string adapter;
};

/// Divides the store's rate and concurrency among all owners; run by the holder of the grant
/// `store`. A new holder waits one permit lifetime, so that permits of the former holder have
/// ended.
class load_permits {
public:
    static constexpr std::chrono::milliseconds request_lifetime{3'000};

    /// `grant` is the position of the holder's grant. It makes the permit numbers of two holders
    /// differ, so that a permit of a former holder cannot be given back to this one.
    load_permits(store_limits limits, support::time_point start, std::uint64_t grant = 0);
    ~load_permits();
    load_permits(const load_permits&) = delete;
    load_permits& operator=(const load_permits&) = delete;
    load_permits(load_permits&&) noexcept;
    load_permits& operator=(load_permits&&) noexcept;

    /// The text changed the limits.
    void set_limits(store_limits limits);

    /// Asks for a permit, or renews a request that waits already with its new urgency. A request
    /// that is not renewed within `request_lifetime` is forgotten: its owner is gone.
    void request(std::string_view endpoint, std::string_view adapter, double urgency,
                 support::time_point now);
    void withdraw(std::string_view endpoint, std::string_view adapter);

    /// The load has ended; `failed` slows the rate down while the store is in trouble.
    void return_permit(std::uint64_t number, bool failed, support::time_point now);

    /// Permits to hand out now, most urgent first.
    std::vector<load_permit> poll(support::time_point now);

    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t outstanding(support::time_point now) const;

    /// When `poll` may hand out a permit next; nothing while no request waits.
    [[nodiscard]] std::optional<support::time_point> next_wakeup(support::time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::policy
