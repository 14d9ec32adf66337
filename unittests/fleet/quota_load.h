#pragma once

#include "quota_network.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace dragonflystair::fleet::testing {

/// Calls of tenants of uneven size that use most of their quotas, on nodes between which they move,
/// and what token buckets without any delay would refuse of them.
class quota_load {
public:
    static constexpr std::size_t tenants = 16;
    static constexpr double smallest_rate = 3'000;
    static constexpr double rate_ratio = 1.26; ///< Between one tenant and the next.
    static constexpr double burst_s = 1;       ///< Burst in seconds of the rate.
    static constexpr double least_use = 0.85;
    static constexpr double most_use = 0.97;
    static constexpr double mean_cost = 700;
    static constexpr double long_share = 0.019; ///< Of the calls, with 13 times the mean cost.

    quota_load(std::size_t nodes, unsigned seed) : nodes_(nodes), random_(seed) {
        double rate = smallest_rate;
        for (std::size_t index = 0; index < tenants; ++index, rate *= rate_ratio) {
            tenant limits;
            limits.name = "tenant-" + std::to_string(index);
            limits.unit = quota_unit::tokens;
            limits.rate_per_s = rate;
            limits.burst = rate * burst_s;
            limits_.push_back(limits);
        }
        levels_.resize(tenants);
        demanded_.resize(tenants);
        refused_.resize(tenants);
    }

    [[nodiscard]] const std::vector<tenant>& limits() const { return limits_; }

    /// Returns the calls of a step, and counts what the buckets refuse from `counted_from` on.
    std::vector<quota_network::call> arrivals(time_point now, time_point counted_from) {
        constexpr double step_s = std::chrono::duration<double>(quota_network::step).count();
        std::vector<quota_network::call> result;
        for (std::size_t index = 0; index < tenants; ++index) {
            const auto& limits = limits_[index];
            levels_[index] = std::min(levels_[index] + limits.rate_per_s * step_s, limits.burst);
            const double use = least_use + (most_use - least_use) *
                                               static_cast<double>(index * 7 % tenants) /
                                               (tenants - 1);
            const double expected = use * limits.rate_per_s / mean_cost * step_s;
            for (int calls = std::poisson_distribution<int>(expected)(random_); calls > 0;
                 --calls) {
                const double cost = next_cost();
                result.push_back({index, next_node(index, now), cost});
                const bool served = levels_[index] >= cost;
                levels_[index] -= served ? cost : 0;
                demanded_[index] += now >= counted_from ? cost : 0;
                refused_[index] += now >= counted_from && !served ? cost : 0;
            }
        }
        return result;
    }

    [[nodiscard]] double demanded(std::size_t tenant) const { return demanded_.at(tenant); }
    [[nodiscard]] double refused(std::size_t tenant) const { return refused_.at(tenant); }

private:
    double next_cost() {
        const bool is_long = std::bernoulli_distribution(long_share)(random_);
        return std::floor(is_long ? std::uniform_real_distribution<>(8'200, 10'001)(random_)
                                  : std::uniform_real_distribution<>(60, 1'015)(random_));
    }

    /// Half of a tenant's calls arrive at a sixth of the nodes, which are others every 3 s.
    std::size_t next_node(std::size_t tenant, time_point now) {
        const auto any = std::uniform_int_distribution<std::size_t>(0, nodes_ - 1)(random_);
        if (std::bernoulli_distribution(0.5)(random_)) {
            return any;
        }
        const auto turn = static_cast<std::size_t>(now.time_since_epoch() / seconds{3});
        return ((turn + tenant) * 7 * nodes_ / 6 + any / 6) % nodes_;
    }

    std::size_t nodes_;
    std::mt19937 random_;
    std::vector<tenant> limits_;
    std::vector<double> levels_;
    std::vector<double> demanded_;
    std::vector<double> refused_;
};

} // namespace dragonflystair::fleet::testing
