#pragma once

#include "dragonflystair/fleet/configuration.h"

#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// Describes in words which services, routes, tenants and limits differ, one line each, as
/// `support::differences` does. The version is not compared, and no key is printed.
std::vector<std::string> differences(const configuration& from, const configuration& to);

} // namespace dragonflystair::fleet
