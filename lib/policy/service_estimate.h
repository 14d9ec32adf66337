#pragma once

#include "dragonflystair/policy/request.h"
#include "dragonflystair/support/time.h"

#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Time in the batch as measured, by lane, and the length of an adapter's answers. Without a
/// measurement every estimate is zero, so that nothing is refused on a guess. An estimate without
/// new samples shrinks: otherwise one that is above every deadline would refuse all work, and no
/// sample could ever correct it.
class service_estimate {
public:
    void on_finished(work_class lane, std::string_view adapter, support::duration taken,
                     std::size_t tokens, support::time_point now);

    /// Expected time in the batch.
    [[nodiscard]] support::duration service(work_class lane, double expected_tokens,
                                            support::time_point now) const;

    /// As `service`, plus `spreads` times the mean deviation of what was measured; negative for an
    /// optimistic estimate.
    [[nodiscard]] support::duration service_with_spread(work_class lane, double expected_tokens,
                                                        double spreads,
                                                        support::time_point now) const;

    /// Mean tokens of the adapter's answers; 0 if unknown.
    [[nodiscard]] double learned_tokens(std::string_view adapter) const;

private:
    struct lane_record {
        double seconds = 0;
        double deviation = 0;
        double seconds_per_token = 0;
        support::time_point updated;
    };
    [[nodiscard]] static double freshness(const lane_record& known, support::time_point now);
    [[nodiscard]] const lane_record& of(work_class lane) const;
    lane_record short_;
    lane_record long_;
    std::map<std::string, double, std::less<>> tokens_;
};

} // namespace dragonflystair::policy
