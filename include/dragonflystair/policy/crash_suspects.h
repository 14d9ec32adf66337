#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace dragonflystair::policy {

/// How a request may run, given the crashes it was involved in.
enum class suspicion {
    clear,
    watched,     ///< Runs normally; becomes a suspect if it is in flight at another crash.
    suspect,     ///< Must be the only request in the batch.
    quarantined, ///< Must not run.
};

/// Identifies requests that crash engines, by the fingerprint of their content. A request that was
/// in flight at a crash and had produced no token becomes a suspect. One that had produced tokens
/// is only watched, and becomes a suspect at a second crash: most requests that crash an engine do
/// so when they start, and running every stream of a crashed endpoint in isolation would delay the
/// last one by minutes. A suspect runs in isolation; if it crashes an engine again while it is the
/// only request, it is quarantined; if it finishes, it is cleared.
class crash_suspects {
public:
    static constexpr std::chrono::minutes quarantine_duration{60};
    static constexpr std::chrono::minutes suspicion_duration{10};

    /// Records a crash of an endpoint that this node owns. The two lists together are all requests
    /// in flight on the endpoint, split by whether they had produced a token.
    void on_crash(std::span<const std::uint64_t> without_token,
                  std::span<const std::uint64_t> with_tokens, support::time_point now);
    void on_crash(std::span<const std::uint64_t> without_token, support::time_point now) {
        on_crash(without_token, {}, now);
    }
    /// Clears a request that has finished, unless it is quarantined.
    void on_finished(std::uint64_t fingerprint);

    /// Marks a request as a suspect, for example because a peer reported it in flight at a crash:
    /// if the caller repeats the request through this node, it then runs in isolation instead of
    /// crashing a second endpoint together with all its other requests. Has no effect on a
    /// quarantined request.
    void mark_suspect(std::uint64_t fingerprint, support::time_point now);

    /// Records that a request that had already produced tokens was in flight at a crash. Marks it
    /// as watched, or as a suspect if it is watched already.
    void on_crash_after_tokens(std::uint64_t fingerprint, support::time_point now);

    /// Quarantines the request. Called for this node's own crashes and for quarantines that a peer
    /// reports.
    void mark_quarantined(std::uint64_t fingerprint, support::time_point now);

    /// Returns how a request may run at `now`.
    [[nodiscard]] suspicion state(std::uint64_t fingerprint, support::time_point now) const;
    /// Returns the fingerprints that are quarantined at `now`.
    [[nodiscard]] std::vector<std::uint64_t> quarantined(support::time_point now) const;

private:
    struct record {
        suspicion state = suspicion::suspect;
        support::time_point since;
    };
    std::map<std::uint64_t, record> records_;
};

} // namespace dragonflystair::policy
