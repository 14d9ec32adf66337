#pragma once

#include "dragonflystair/policy/crash_suspects.h"

#include <cstdint>
#include <mutex>
#include <span>
#include <vector>

namespace dragonflystair::node {

/// Thread-safe wrapper of `policy::crash_suspects`, which tracks requests that may crash endpoints.
class crash_table {
public:
    void on_crash(std::span<const std::uint64_t> before_first_token,
                  std::span<const std::uint64_t> after_first_token, support::time_point now) {
        const std::lock_guard lock(mutex_);
        suspects_.on_crash(before_first_token, after_first_token, now);
    }
    void on_crash_after_tokens(std::uint64_t fingerprint, support::time_point now) {
        const std::lock_guard lock(mutex_);
        suspects_.on_crash_after_tokens(fingerprint, now);
    }
    void on_finished(std::uint64_t fingerprint) {
        const std::lock_guard lock(mutex_);
        suspects_.on_finished(fingerprint);
    }
    void mark_suspect(std::uint64_t fingerprint, support::time_point now) {
        const std::lock_guard lock(mutex_);
        suspects_.mark_suspect(fingerprint, now);
    }
    void mark_quarantined(std::uint64_t fingerprint, support::time_point now) {
        const std::lock_guard lock(mutex_);
        suspects_.mark_quarantined(fingerprint, now);
    }
    [[nodiscard]] policy::suspicion state(std::uint64_t fingerprint,
                                          support::time_point now) const {
        const std::lock_guard lock(mutex_);
        return suspects_.state(fingerprint, now);
    }
    [[nodiscard]] std::vector<std::uint64_t> quarantined(support::time_point now) const {
        const std::lock_guard lock(mutex_);
        return suspects_.quarantined(now);
    }

private:
    mutable std::mutex mutex_;
    policy::crash_suspects suspects_;
};

} // namespace dragonflystair::node
