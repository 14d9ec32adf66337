#pragma once

#include "dragonflystair/net/awaitable.h"

#include <chrono>

namespace dragonflystair::node {

/// Suspends the calling coroutine for a duration, using a timer on its executor.
net::awaitable<void> sleep_for(std::chrono::milliseconds duration);

} // namespace dragonflystair::node
