#include "quota_window.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace dragonflystair::soak {

namespace {

/// Defaults of the settings `quota_window` and `quota_overrun`.
constexpr std::chrono::seconds window{8};
constexpr double overrun = 0.1;

} // namespace

double quota_window::sum_since(std::deque<entry>& entries, support::time_point start) {
    while (!entries.empty() && entries.front().at <= start) {
        entries.pop_front();
    }
    return std::accumulate(entries.begin(), entries.end(), 0.0,
                           [](double sum, const entry& item) { return sum + item.amount; });
}

std::optional<double> quota_window::add(double cost, support::time_point now) {
    entries_.push_back({now, cost});
    const double sum = sum_since(entries_, now - window);
    const double stalled_s = sum_since(stalls_, now - window);
    largest_ = std::max(largest_, sum);
    const double allowed = bound() + limit_.rate_per_s * stalled_s * (1 + overrun);
    return sum > allowed ? std::optional(sum) : std::nullopt;
}

void quota_window::add_stall(support::duration delay, support::time_point now) {
    stalls_.push_back({now, std::chrono::duration<double>(delay).count()});
}

double quota_window::bound() const {
    return (limit_.rate_per_s * static_cast<double>(window.count()) + limit_.burst) *
               (1 + overrun) +
           limit_.slack;
}

} // namespace dragonflystair::soak
