#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace dragonflystair::membership {

/// Tells whether a holder whose lease has run out may go on serving resident adapters while the log
/// is down.
///
/// A claimant that cannot read the log waits a whole lease and margin after it can read again
/// before it ends a session (`session_watch`). So the statement "the log is out of reach for me"
/// promises not to take over for that long. If every other live session has said so, nobody can
/// take over. Each statement echoes the last time stamp that the peer got from this node, and
/// counts from that stamp, since the statement itself may have waited in a buffer while this node
/// was paused.
class outage_promises {
public:
    /// `validity` is the lease: the claimants' wait without their margin for clock drift.
    explicit outage_promises(std::chrono::milliseconds validity) : validity_(validity) {}

    /// A peer's heartbeat: whether it promises not to take over, and the echo of this node's last
    /// stamp.
    void on_heartbeat(std::string_view peer, bool promises, support::time_point echoed_stamp);

    /// True if each of `others` has promised for a time that has not passed.
    [[nodiscard]] bool all_promised(std::span<const std::string> others,
                                    support::time_point now) const;

private:
    std::chrono::milliseconds validity_;
    /// Stamp from which each peer's promise counts; absent without a promise.
    std::map<std::string, support::time_point, std::less<>> promised_from_;
};

} // namespace dragonflystair::membership
