#include "dragonflystair/policy/load_reporter.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

/// Divisor of the batch limit: a change of running and queued requests by this part of the batch is
/// reported early.
constexpr std::size_t early_report_divisor = 4;

std::size_t difference(std::size_t left, std::size_t right) {
    return left > right ? left - right : right - left;
}

} // namespace

bool load_reporter::due(const endpoint_load& load, support::time_point now) {
    if (last_sent_ && now - *last_sent_ < min_report_interval) {
        return false;
    }
    const auto change = difference(load.running + load.queued, last_.running + last_.queued);
    const auto early_report_threshold =
        std::max<std::size_t>(1, load.batch_limit / early_report_divisor);
    const bool early = change >= early_report_threshold || load.resident != last_.resident;
    if (last_sent_ && !early && now - *last_sent_ < default_report_interval) {
        return false;
    }
    last_ = load;
    last_sent_ = now;
    return true;
}

} // namespace dragonflystair::policy
