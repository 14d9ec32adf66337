#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Request rate per adapter, as exponentially decaying averages over a short and a long time
/// constant.
class popularity {
public:
    static constexpr std::chrono::seconds short_time_constant{2};
    static constexpr std::chrono::seconds long_time_constant{60};

    /// Records `count` requests that arrived since the previous call.
    void on_request(std::string_view adapter, support::time_point now, double count = 1);

    /// Returns requests per second: the larger of the two averages, where the short one leaves out
    /// one request.
    [[nodiscard]] double rate(std::string_view adapter, support::time_point now) const;

    /// Removes adapters whose rate has decayed to almost zero.
    void prune(support::time_point now);

private:
    struct record {
        double short_rate = 0;
        double long_rate = 0;
        support::time_point updated;
    };
    std::map<std::string, record, std::less<>> records_;
};

} // namespace dragonflystair::policy
