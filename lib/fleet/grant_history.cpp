#include "dragonflystair/fleet/grant_history.h"

#include <algorithm>
#include <ranges>

namespace dragonflystair::fleet {

using support::time_point;

void grant_history::add(time_point at, double amount) {
    if (grants_.empty() || grants_.back().at != at) {
        grants_.push_back({at, 0});
    }
    grants_.back().amount += amount;
}

void grant_history::remove(time_point since, double amount) {
    for (auto& item : grants_) {
        if (item.at >= since) {
            const double removed = std::min(item.amount, amount);
            item.amount -= removed;
            amount -= removed;
        }
    }
}

void grant_history::expire(time_point now) {
    while (!grants_.empty() && now - grants_.front().at > kept_) {
        grants_.pop_front();
    }
}

double grant_history::sum_since(time_point from) const {
    double sum = 0;
    for (const auto& item : grants_ | std::views::reverse) {
        if (item.at < from) {
            break;
        }
        sum += item.amount;
    }
    return sum;
}

double grant_history::level(double capacity, double rate, time_point now) const {
    double lowest = capacity;
    double granted = 0;
    for (const auto& item : grants_ | std::views::reverse) {
        granted += item.amount;
        const std::chrono::duration<double> age = now - item.at;
        lowest = std::min(lowest, capacity + rate * age.count() - granted);
    }
    return lowest;
}

} // namespace dragonflystair::fleet
