#pragma once

#include "notifier.h"

#include <cstdint>
#include <deque>

namespace dragonflystair::stand_ins {

/// Sliding-window rate limiter: allows at most `limit` actions in any second; 0 means no limit.
class rate_window {
public:
    explicit rate_window(std::uint64_t limit) : limit_(limit) {}

    bool allow(steady::time_point now) {
        while (!taken_.empty() && taken_.front() + std::chrono::seconds{1} <= now) {
            taken_.pop_front();
        }
        if (limit_ != 0 && taken_.size() >= limit_) {
            return false;
        }
        taken_.push_back(now);
        return true;
    }

private:
    std::uint64_t limit_;
    std::deque<steady::time_point> taken_;
};

} // namespace dragonflystair::stand_ins
