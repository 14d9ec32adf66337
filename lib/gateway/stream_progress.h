#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/stream/sse.h"
#include "dragonflystair/support/time.h"

#include <string_view>

namespace dragonflystair::gateway {

/// Longest time without an event before a stream counts as stalled, as long as callers of the
/// platform wait. A stream that can go on at another endpoint is given up after half of it, so that
/// its caller is still there.
support::duration stall_limit(const fleet::route& route);

/// Whether a stream goes on. Only whole events with data count: an endpoint that sends single
/// bytes, comments or blank lines now and then makes no progress. Pure: the time is an argument.
class stream_progress {
public:
    stream_progress(support::duration limit, support::time_point now)
        : limit_(limit), last_event_(now) {}

    void feed(std::string_view bytes, support::time_point now);

    /// The stream counts as stalled from then on.
    [[nodiscard]] support::time_point stalls_at() const { return last_event_ + limit_; }
    /// Whether its current event is longer than an event may be, such as a line without end.
    [[nodiscard]] bool overlong() const;

private:
    support::duration limit_;
    support::time_point last_event_;
    stream::sse_reader reader_;
};

} // namespace dragonflystair::gateway
