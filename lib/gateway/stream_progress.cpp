#include "stream_progress.h"

#include <algorithm>
#include <chrono>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

namespace {

/// The platform's callers abandon a stream after the longest of these times without an event: the
/// minimum, or a multiple of the route's latency objective or of its longest pause.
constexpr milliseconds min_stall_timeout{2'000};
constexpr int stall_objectives = 4;
constexpr int stall_pauses = 8;

} // namespace

support::duration stall_timeout(const fleet::route& route) {
    const auto timeout = std::max({min_stall_timeout, route.objective * stall_objectives,
                                   route.max_event_gap * stall_pauses});
    return route.resumable ? support::duration(timeout) / 2 : support::duration(timeout);
}

void stream_progress::feed(std::string_view bytes, support::time_point now) {
    reader_.feed(bytes);
    while (reader_.next()) {
        last_event_ = now;
    }
}

bool stream_progress::event_too_long() const {
    return reader_.buffered_bytes() > max_event_bytes;
}

} // namespace dragonflystair::gateway
