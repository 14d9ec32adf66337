#include "dragonflystair/fleet/reader_pacing.h"

#include <algorithm>
#include <cstdint>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

namespace {

/// The node of rank 0 detects the store's recovery within this time, since the platform allows two
/// seconds from the recovery for endpoints to be listed again.
constexpr milliseconds first_pause{300};
/// Each rank doubles the pause, up to this many times (9.6 s).
constexpr std::size_t max_doublings = 5;

/// A new reader is known to the other nodes within a status period of 500 ms.
constexpr milliseconds takeover_step{100};
constexpr std::size_t max_takeover_steps = 15;

} // namespace

milliseconds pause_after_failed_read(std::size_t rank) {
    return first_pause * (std::int64_t{1} << std::min(rank, max_doublings));
}

milliseconds pause_before_takeover(std::size_t rank) {
    return takeover_step * static_cast<std::int64_t>(std::min(rank, max_takeover_steps));
}

} // namespace dragonflystair::fleet
