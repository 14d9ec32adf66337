#pragma once

#include <chrono>
#include <cstddef>

namespace dragonflystair::fleet {

/// Staggers the store reads of the nodes of one data centre while the store does not answer. `rank`
/// is the number of connected nodes that are ordered before this one. Load pattern it is designed
/// for: a store that fails or recovers while hundreds of nodes read it, with each call being
/// billed. The functions have no state.

/// Returns the pause after a failed call, which grows with the rank.
std::chrono::milliseconds pause_after_failed_read(std::size_t rank);

/// Returns the delay before a node whose reader was lost reads the store itself, so that the
/// success of a node of lower rank makes its own read unnecessary.
std::chrono::milliseconds pause_before_takeover(std::size_t rank);

} // namespace dragonflystair::fleet
