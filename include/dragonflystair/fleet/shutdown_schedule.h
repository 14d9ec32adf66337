#pragma once

#include "dragonflystair/support/time.h"

namespace dragonflystair::fleet {

/// Times of a planned stop, and the decision which calls a stopping node still takes. Callers go on
/// using the node's address for a while after the stop began. A call is taken only if the node can
/// answer it however much of its time the endpoint uses; any other call is refused before it is
/// sent, so that its caller can have it served elsewhere. Has no clock and does no I/O.
class shutdown_schedule {
public:
    /// `limit` is the time from the begin of the stop until the platform kills the process.
    shutdown_schedule(support::time_point began, support::duration limit)
        : began_(began), limit_(limit) {}

    /// Returns when the node stops accepting connections, if it still gets calls then.
    [[nodiscard]] support::time_point closes_at() const;
    /// Returns the deadline of the last response.
    [[nodiscard]] support::time_point answers_by() const;
    /// Returns when the process exits, whether or not connections are open.
    [[nodiscard]] support::time_point ends_at() const;

    /// Returns whether the node may close early: it has no calls, and callers have stopped coming.
    [[nodiscard]] bool may_close(support::time_point now, support::time_point last_request,
                                 bool calls_open) const;

    /// Returns whether a call whose deadline is `answer_by` is taken.
    [[nodiscard]] bool admits(support::time_point answer_by) const {
        return answer_by <= answers_by();
    }

    /// Returns the Retry-After of a call that is not taken. If no other node is ready, the caller
    /// is asked to return when this process has ended and may have been restarted.
    [[nodiscard]] support::duration retry_after(support::time_point now,
                                                bool other_node_ready) const;

private:
    support::time_point began_;
    support::duration limit_;
};

} // namespace dragonflystair::fleet
