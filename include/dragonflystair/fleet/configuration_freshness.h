#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace dragonflystair::fleet {

/// What a node tells a peer about its configuration.
struct freshness_report {
    std::uint64_t version = 0;        ///< Of its configuration.
    std::chrono::milliseconds age{0}; ///< Time for which that version may have been replaced.
};

/// Decides whether a key of the configuration that this node has in force can still be relied on. A
/// node that lost touch with the store cannot know which keys were revoked since.
///
/// A confirmation dates from the time at which the store, or a peer, was asked, and not from the
/// arrival of the answer. So answers that were delayed, by a link or while a VM was suspended, make
/// no configuration look newer than it is. Has no clock and does no I/O; times are of a clock that
/// advances while the VM is suspended.
class configuration_freshness {
public:
    /// Time after the restoration of a store from a copy in which its answers confirm nothing: the
    /// operator writes lost versions again, and until then the copy looks current.
    static constexpr std::chrono::milliseconds restoration_doubt{2'000};

    /// Interval at which a node asks the peer that reads the store for it.
    static constexpr std::chrono::milliseconds peer_request_period{500};

    /// Returns the longest time for which a read of the store may wait for records. A cut of the
    /// store loses the read under way too, so two of these waits, and an interval of requests to
    /// peers, come on top of the time for which a node without the store has to go on.
    static constexpr std::chrono::milliseconds
    max_read_wait(std::chrono::milliseconds revocation_timeout) {
        constexpr int reads_per_timeout = 8;
        return revocation_timeout / reads_per_timeout;
    }

    /// Without a timeout every configuration can be relied on.
    explicit configuration_freshness(std::optional<std::chrono::milliseconds> timeout)
        : timeout_(timeout) {}

    /// Records that the store had no newer configuration than the one in force when it answered a
    /// read that was sent at `asked`.
    void on_store_read(support::time_point asked);

    /// Applies a peer's answer to a question that was sent at `asked`. `version` is of this node's
    /// configuration; the answer counts only if that is at least as new as the peer's.
    void on_peer_report(const freshness_report& report, std::uint64_t version,
                        support::time_point asked);

    void on_store_restored(support::time_point now);

    /// Returns what to tell a peer that asks; empty if nothing is confirmed yet.
    [[nodiscard]] std::optional<freshness_report> report(std::uint64_t version,
                                                         support::time_point now) const;

    /// Returns whether a key that the configuration has is valid for a call that arrived then.
    [[nodiscard]] bool reliable(support::time_point arrived) const;

private:
    void confirm(support::time_point at);

    std::optional<std::chrono::milliseconds> timeout_;
    std::optional<support::time_point> confirmed_;
    std::optional<support::time_point> doubted_until_;
};

} // namespace dragonflystair::fleet
