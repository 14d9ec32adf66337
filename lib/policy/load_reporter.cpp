#include "dragonflystair/policy/load_reporter.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

/// Change of running and queued requests, as a part of the batch, that is reported early.
constexpr std::size_t batch_part = 4;

std::size_t difference(std::size_t left, std::size_t right) {
    return left > right ? left - right : right - left;
}

} // namespace

bool load_reporter::due(const endpoint_load& load, support::time_point now) {
    if (sent_ && now - *sent_ < shortest_period) {
        return false;
    }
    const auto changed = difference(load.running + load.queued, last_.running + last_.queued);
    const auto least = std::max<std::size_t>(1, load.batch_limit / batch_part);
    const bool early = changed >= least || load.resident != last_.resident;
    if (sent_ && !early && now - *sent_ < usual_period) {
        return false;
    }
    last_ = load;
    sent_ = now;
    return true;
}

} // namespace dragonflystair::policy
