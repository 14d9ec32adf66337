#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Demand per adapter as exponentially decayed rates over a short and a long time constant.
class popularity {
public:
    static constexpr std::chrono::seconds short_constant{2};
    static constexpr std::chrono::seconds long_constant{60};

    /// `count` requests that came since the last look.
    void on_request(std::string_view adapter, support::time_point now, double count = 1);

    /// Requests a second; the larger of the two rates, where the short one leaves out one request.
    [[nodiscard]] double rate(std::string_view adapter, support::time_point now) const;

    /// Drops adapters whose rate has decayed to almost nothing.
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
