#pragma once

#include "dragonflystair/net/awaitable.h"

#include <chrono>

namespace dragonflystair::node {

/// Waits for a time on the executor of the calling coroutine.
net::awaitable<void> sleep_for(std::chrono::milliseconds time);

} // namespace dragonflystair::node
