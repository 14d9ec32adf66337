#pragma once

#include <nlohmann/json.hpp>

namespace dragonflystair::support {

/// JSON and msgpack value used for platform messages, log records and peer frames.
using json = nlohmann::json;

} // namespace dragonflystair::support
