#include "dragonflystair/fleet/reader_pacing.h"

#include <algorithm>
#include <cstdint>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

namespace {

/// The first node notices the store's return within this time, as the platform gives endpoints two
/// seconds from then to be listed again.
constexpr milliseconds first_pause{300};
/// Each rank doubles the pause up to this many times, to 9.6 s.
constexpr std::size_t most_doublings = 5;

/// Nodes hear of a new reader within a status period of 500 ms.
constexpr milliseconds takeover_step{100};
constexpr std::size_t most_takeover_steps = 15;

} // namespace

milliseconds pause_after_failed_read(std::size_t rank) {
    return first_pause * (std::int64_t{1} << std::min(rank, most_doublings));
}

milliseconds pause_before_takeover(std::size_t rank) {
    return takeover_step * static_cast<std::int64_t>(std::min(rank, most_takeover_steps));
}

} // namespace dragonflystair::fleet
