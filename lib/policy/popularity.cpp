#include "dragonflystair/policy/popularity.h"

#include <algorithm>
#include <cmath>

namespace dragonflystair::policy {

namespace {

/// Part of a rate that is left after `elapsed`.
double decay(support::duration elapsed, std::chrono::seconds constant) {
    return std::exp(-std::chrono::duration<double>(elapsed) /
                    std::chrono::duration<double>(constant));
}

} // namespace

void popularity::on_request(std::string_view adapter, support::time_point now, double count) {
    auto place = records_.find(adapter);
    if (place == records_.end()) {
        place = records_.emplace(std::string(adapter), record{0, 0, now}).first;
    }
    auto& known = place->second;
    const auto elapsed = now - known.updated;
    known.short_rate = known.short_rate * decay(elapsed, short_constant) +
                       count / static_cast<double>(short_constant.count());
    known.long_rate = known.long_rate * decay(elapsed, long_constant) +
                      count / static_cast<double>(long_constant.count());
    known.updated = now;
}

double popularity::rate(std::string_view adapter, support::time_point now) const {
    const auto place = records_.find(adapter);
    if (place == records_.end()) {
        return 0;
    }
    const auto& known = place->second;
    const auto elapsed = now - known.updated;
    // One request is no trend: at its full short rate, an adapter that was asked for once would
    // outlast all but the fifteen or so most popular ones for seconds.
    constexpr double one_request = 1.0 / static_cast<double>(short_constant.count());
    return std::max(known.short_rate * decay(elapsed, short_constant) - one_request,
                    known.long_rate * decay(elapsed, long_constant));
}

void popularity::prune(support::time_point now) {
    // One request in the last five minutes leaves a long rate of about this much.
    constexpr double negligible_per_second = 1e-4;
    std::erase_if(records_,
                  [&](const auto& item) { return rate(item.first, now) < negligible_per_second; });
}

} // namespace dragonflystair::policy
