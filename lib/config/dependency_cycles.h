#pragma once

#include "dragonflystair/config/deployment.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflystair::config {

/// Returns the paths of dependency cycles, each of which ends with the service that it starts with.
/// There is one path for each dependency that closes a cycle, in the order of service names.
std::vector<std::vector<std::string>>
dependency_cycles(const std::map<std::string, service>& services);

} // namespace dragonflystair::config
