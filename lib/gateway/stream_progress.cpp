#include "stream_progress.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;

namespace {

/// The platform's callers leave a stream after the longest of these without an event.
constexpr milliseconds least_patience{2'000};
constexpr int patience_objectives = 4;
constexpr int patience_pauses = 8;

/// Events of the deployments hold tens of bytes; a whole answer in one event still fits.
constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

} // namespace

support::duration stall_limit(const fleet::route& route) {
    const auto patience = std::max({least_patience, route.objective * patience_objectives,
                                    route.longest_pause * patience_pauses});
    return route.resumable ? support::duration(patience) / 2 : support::duration(patience);
}

void stream_progress::feed(std::string_view bytes, support::time_point now) {
    reader_.feed(bytes);
    while (reader_.next()) {
        last_event_ = now;
    }
}

bool stream_progress::overlong() const {
    return reader_.buffered_bytes() > max_event_bytes;
}

} // namespace dragonflystair::gateway
