#pragma once

#include "dragonflystair/policy/request.h"
#include "dragonflystair/support/time.h"

#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Estimates the service time (time in the batch) per lane and the answer length per adapter.
/// Without measurements every estimate is zero, so that no request is refused without evidence. An
/// estimate decays without new samples: otherwise one that exceeds every deadline would refuse all
/// requests, and no sample could correct it.
class service_estimate {
public:
    void on_finished(work_class lane, std::string_view adapter, support::duration elapsed,
                     std::size_t tokens, support::time_point now);

    /// Returns the expected service time.
    [[nodiscard]] support::duration service(work_class lane, double expected_tokens,
                                            support::time_point now) const;

    /// Returns `service` plus `deviations` times the mean deviation of the samples; a negative
    /// factor gives an optimistic estimate.
    [[nodiscard]] support::duration service_with_margin(work_class lane, double expected_tokens,
                                                        double deviations,
                                                        support::time_point now) const;

    /// Returns the mean number of tokens in the adapter's answers; 0 if unknown.
    [[nodiscard]] double learned_tokens(std::string_view adapter) const;

private:
    struct lane_record {
        double seconds = 0;
        double deviation = 0;
        double seconds_per_token = 0;
        support::time_point updated;
    };
    [[nodiscard]] static double freshness(const lane_record& record, support::time_point now);
    [[nodiscard]] const lane_record& record_of(work_class lane) const;
    lane_record short_;
    lane_record long_;
    std::map<std::string, double, std::less<>> tokens_;
};

} // namespace dragonflystair::policy
