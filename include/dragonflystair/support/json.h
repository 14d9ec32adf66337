#pragma once

#include <nlohmann/json.hpp>

namespace dragonflystair::support {

/// JSON value, used for platform messages and log records, and encoded as MessagePack in peer
/// frames.
using json = nlohmann::json;

} // namespace dragonflystair::support
