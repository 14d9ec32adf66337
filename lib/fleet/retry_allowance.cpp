#include "dragonflystair/fleet/retry_allowance.h"

#include <algorithm>

namespace dragonflystair::fleet {

namespace {

/// Fraction of the share that is used, as a margin: changes in the number of nodes are detected
/// late, and the windows of different nodes are not aligned.
constexpr double used_fraction = 0.7;

void drop_before(std::deque<support::time_point>& times, support::time_point start) {
    while (!times.empty() && times.front() < start) {
        times.pop_front();
    }
}

} // namespace

void retry_allowance::expire(usage& used, support::time_point now) const {
    drop_before(used.calls, now - limits_.window);
    drop_before(used.retries, now - limits_.window);
}

void retry_allowance::on_call(std::string_view service, support::time_point now) {
    auto found = used_.find(service);
    if (found == used_.end()) {
        found = used_.emplace(std::string(service), usage{}).first;
    }
    expire(found->second, now);
    found->second.calls.push_back(now);
}

bool retry_allowance::try_take(std::string_view service, std::size_t nodes,
                               support::time_point now) {
    const auto found = used_.find(service);
    if (found == used_.end()) {
        return false;
    }
    auto& used = found->second;
    expire(used, now);
    const double share = limits_.ratio * static_cast<double>(used.calls.size()) +
                         limits_.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (static_cast<double>(used.retries.size()) + 1 > used_fraction * share) {
        return false;
    }
    used.retries.push_back(now);
    return true;
}

} // namespace dragonflystair::fleet
