#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace dragonflystair::policy {

/// How a request with a fingerprint may run.
enum class suspicion { clear, suspect, quarantined };

/// Finds requests that crash endpoints. All in flight at a crash are suspects; a suspect runs
/// alone; one that crashes an endpoint while alone is quarantined; one that finishes is cleared.
class crash_suspects {
public:
    static constexpr std::chrono::minutes quarantine_time{60};
    static constexpr std::chrono::minutes suspicion_time{10};

    void on_crash(std::span<const std::uint64_t> in_flight, support::time_point now);
    void on_finished(std::uint64_t fingerprint);

    /// A request was in flight at a crash that a peer saw, so that a caller who repeats it here
    /// does not crash a second endpoint with all its other requests.
    void on_suspicion(std::uint64_t fingerprint, support::time_point now);

    /// A peer has quarantined the fingerprint.
    void on_peer_quarantine(std::uint64_t fingerprint, support::time_point now);

    [[nodiscard]] suspicion state(std::uint64_t fingerprint, support::time_point now) const;
    [[nodiscard]] std::vector<std::uint64_t> quarantined(support::time_point now) const;

private:
    struct record {
        suspicion state = suspicion::suspect;
        support::time_point since;
    };
    std::map<std::uint64_t, record> records_;
};

} // namespace dragonflystair::policy
