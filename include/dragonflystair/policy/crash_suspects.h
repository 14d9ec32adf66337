#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace dragonflystair::policy {

/// How a request with a fingerprint may run.
enum class suspicion {
    clear,
    watched,     ///< Runs as usual, but a second crash makes it a suspect.
    suspect,     ///< Runs alone.
    quarantined, ///< Is not run.
};

/// Finds requests that crash endpoints. Those in flight at a crash without a token are suspects,
/// those that had tokens already are watched and become suspects at a second crash: most requests
/// that crash an endpoint do so when they start, and running every stream of a crashed endpoint
/// alone would hold the last of them for minutes. A suspect runs alone; one that crashes an
/// endpoint while alone is quarantined; one that finishes is cleared.
class crash_suspects {
public:
    static constexpr std::chrono::minutes quarantine_time{60};
    static constexpr std::chrono::minutes suspicion_time{10};

    /// `without_token` and `with_tokens` are all requests that the endpoint ran.
    void on_crash(std::span<const std::uint64_t> without_token,
                  std::span<const std::uint64_t> with_tokens, support::time_point now);
    void on_crash(std::span<const std::uint64_t> without_token, support::time_point now) {
        on_crash(without_token, {}, now);
    }
    void on_finished(std::uint64_t fingerprint);

    /// A request was in flight at a crash that a peer saw, so that a caller who repeats it here
    /// does not crash a second endpoint with all its other requests.
    void mark_suspect(std::uint64_t fingerprint, support::time_point now);

    /// A request that had tokens was in flight at a crash that another node has seen.
    void on_crash_after_tokens(std::uint64_t fingerprint, support::time_point now);

    /// A peer has quarantined the fingerprint.
    void mark_quarantined(std::uint64_t fingerprint, support::time_point now);

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
