#pragma once

#include <chrono>
#include <cstddef>

namespace dragonflystair::fleet {

/// How nodes of one data centre take turns at a store that does not answer. `rank` is the number
/// of nodes in touch that come before this one. Load pattern it answers: a store that fails or
/// returns while hundreds of nodes want to read it, each call being paid for. Pure.

/// Pause after a call that failed, longer with each rank.
std::chrono::milliseconds pause_after_failed_read(std::size_t rank);

/// Pause before the first own read of a node whose reader was lost, so that another node's success
/// makes it needless.
std::chrono::milliseconds pause_before_takeover(std::size_t rank);

} // namespace dragonflystair::fleet
