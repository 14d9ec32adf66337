#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace dragonflystair::soak {

/// Starts callers that send bodies, heads or requests which they do not finish, or whose responses
/// they do not read, to the listener at `address`. `draw` chooses what they send; none of it may
/// reach an endpoint. Returns the function that closes their connections.
std::function<void()> begin_bad_callers(const std::string& address, std::size_t draw);

} // namespace dragonflystair::soak
