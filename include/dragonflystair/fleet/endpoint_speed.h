#pragma once

#include "dragonflystair/support/string_hash.h"
#include "dragonflystair/support/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflystair::fleet {

/// Speed of each endpoint of one service relative to the mean of the service, from the time to the
/// first event of engines and the duration of plain calls, each divided by its forecast for an
/// endpoint of mean speed.
///
/// Load pattern it is designed for: endpoints that differ twofold in speed, permanently or for a
/// few seconds. An estimate is trusted only as far as its samples agree and decays toward the mean
/// without samples, so that an endpoint that has recovered gets calls again. Has no clock and does
/// no I/O: the time is an argument.
class endpoint_speed {
public:
    struct estimate {
        double slowness = 1;    ///< Expected time relative to the forecast; above 1 if slower.
        double uncertainty = 1; ///< Standard deviation of the natural logarithm of `slowness`.
    };

    /// Adds a sample: the measured time divided by the forecast of an endpoint of mean speed. Zero
    /// and negative values are ignored.
    void on_sample(std::string_view endpoint, double relative_time, support::time_point now);
    /// Drops the estimate, as after a restart of the endpoint.
    void forget(std::string_view endpoint);

    /// Returns the estimate, which is the mean of the service for an unknown endpoint.
    [[nodiscard]] estimate of(std::string_view endpoint, support::time_point now) const;
    /// Returns `slowness` of the estimate.
    [[nodiscard]] double slowness(std::string_view endpoint, support::time_point now) const {
        return of(endpoint, now).slowness;
    }

private:
    /// Weighted sums of logarithms of samples, as of `updated`.
    struct record {
        double weight = 0;
        double sum = 0;
        double squares = 0;
        support::time_point updated;
    };

    /// Hashed, since every choice looks up all endpoints of its service.
    std::unordered_map<std::string, record, support::string_hash, std::equal_to<>> records_;
};

} // namespace dragonflystair::fleet
