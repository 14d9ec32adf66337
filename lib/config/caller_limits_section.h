#pragma once

#include "dragonflystair/config/caller_limits.h"

#include "section_reader.h"

namespace dragonflystair::config {

/// Reads the keys of `[limits]` that gateways and nodes share.
void read_caller_limits(section_reader& reader, caller_limits& values);

} // namespace dragonflystair::config
