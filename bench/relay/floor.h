#pragma once

#include <string>

namespace bench {

/// Serves a bare relay to `upstream` (`IP:PORT`) on a free port of loopback with one thread, until
/// the process ends. Prints `floor=IP:PORT` first. It reads a request, sends it on a new connection
/// and copies the answer's pieces; it makes no decision and checks nothing.
void serve_floor(const std::string& upstream);

} // namespace bench
