#include "dragonflystair/policy/popularity.h"

#include <algorithm>
#include <cmath>

namespace dragonflystair::policy {

namespace {

/// Returns the fraction of a rate that remains after `elapsed`.
double decay(support::duration elapsed, std::chrono::seconds time_constant) {
    return std::exp(-std::chrono::duration<double>(elapsed) /
                    std::chrono::duration<double>(time_constant));
}

} // namespace

void popularity::on_request(std::string_view adapter, support::time_point now, double count) {
    auto it = records_.find(adapter);
    if (it == records_.end()) {
        it = records_.emplace(std::string(adapter), record{0, 0, now}).first;
    }
    auto& entry = it->second;
    const auto elapsed = now - entry.updated;
    entry.short_rate = entry.short_rate * decay(elapsed, short_time_constant) +
                       count / static_cast<double>(short_time_constant.count());
    entry.long_rate = entry.long_rate * decay(elapsed, long_time_constant) +
                      count / static_cast<double>(long_time_constant.count());
    entry.updated = now;
}

double popularity::rate(std::string_view adapter, support::time_point now) const {
    const auto it = records_.find(adapter);
    if (it == records_.end()) {
        return 0;
    }
    const auto& entry = it->second;
    const auto elapsed = now - entry.updated;
    // A single request does not indicate a trend. At its full short-term rate, an adapter that was
    // requested once would outrank all but the fifteen or so most popular adapters for seconds.
    constexpr double one_request = 1.0 / static_cast<double>(short_time_constant.count());
    return std::max(entry.short_rate * decay(elapsed, short_time_constant) - one_request,
                    entry.long_rate * decay(elapsed, long_time_constant));
}

void popularity::prune(support::time_point now) {
    // A single request five minutes ago leaves about this long-term rate.
    constexpr double negligible_per_second = 1e-4;
    std::erase_if(records_,
                  [&](const auto& item) { return rate(item.first, now) < negligible_per_second; });
}

} // namespace dragonflystair::policy
