#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/stream/sse.h"
#include "dragonflystair/support/time.h"

#include <cstddef>
#include <string_view>

namespace dragonflystair::gateway {

/// Limit on the size of one event. A complete response in one event still fits.
inline constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

/// Returns the time without an event after which a stream counts as stalled, which is as long as
/// the platform's callers wait. For a stream that can be resumed at another endpoint it is half of
/// that, so that the caller is still connected.
support::duration stall_timeout(const fleet::route& route);

/// Detects stalled streams. Only complete events with data count as progress, not single bytes,
/// comments or blank lines that an endpoint sends occasionally. Pure: the time is an argument.
class stream_progress {
public:
    stream_progress(support::duration timeout, support::time_point now)
        : timeout_(timeout), last_event_(now) {}

    void feed(std::string_view bytes, support::time_point now);

    /// Returns the time from which the stream counts as stalled.
    [[nodiscard]] support::time_point stalls_at() const { return last_event_ + timeout_; }
    /// Returns whether the current event exceeds the size limit, such as a line without an end.
    [[nodiscard]] bool event_too_long() const;
    /// Returns whether the stream so far ends within an event.
    [[nodiscard]] bool inside_event() const { return reader_.inside_event(); }

private:
    support::duration timeout_;
    support::time_point last_event_;
    stream::sse_reader reader_;
};

} // namespace dragonflystair::gateway
