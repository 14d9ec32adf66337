#pragma once

#include <string>

namespace bench {

/// Runs a minimal relay to `upstream` (`IP:PORT`) as the baseline cost of relaying. Listens on a
/// free loopback port with one thread until the process ends, and prints `floor=IP:PORT` once it
/// listens. Each request is forwarded on a new connection and its response is copied as it arrives,
/// without routing or validation.
void serve_floor(const std::string& upstream);

} // namespace bench
