#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace dragonflystair::membership {

/// Determines whether a holder whose lease has expired may continue to serve resident adapters
/// while the log is unreachable.
///
/// A claimant that cannot read the log waits for a whole lease and margin after it can read again
/// before it ends a session (see `session_watch`). A heartbeat that reports the log as unreachable
/// is therefore a promise not to take over for that time. If every other live session has made this
/// promise, no session can take over. Each heartbeat echoes the last time stamp that the peer
/// received from this node, and its promise counts from that stamp, since the heartbeat itself may
/// have waited in a buffer while this node was paused.
class outage_promises {
public:
    /// `validity` is the time for which a promise counts. It is the duration of the lease: the
    /// claimants' wait without its margin for clock drift.
    explicit outage_promises(std::chrono::milliseconds validity) : validity_(validity) {}

    /// Processes a peer's heartbeat: `promises` is true if the peer cannot read the log and so will
    /// not take over, and `echoed_stamp` is the last time stamp that it received from this node.
    void on_heartbeat(std::string_view peer, bool promises, support::time_point echoed_stamp);

    /// Returns true if each of `others` has made a promise that has not expired.
    [[nodiscard]] bool all_promised(std::span<const std::string> others,
                                    support::time_point now) const;

private:
    std::chrono::milliseconds validity_;
    /// Time stamp from which each peer's promise counts; peers without a promise have no entry.
    std::map<std::string, support::time_point, std::less<>> promised_from_;
};

} // namespace dragonflystair::membership
