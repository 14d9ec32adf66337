#pragma once

#include "dragonflystair/support/finding.h"

#include "located_deployment.h"

#include <string>

namespace dragonflystair::config {

/// Reports references to unknown services and data centres, adapters of plain services, and
/// dependency cycles.
void check_references(const located_deployment& target, const std::string& file,
                      support::findings& findings);

} // namespace dragonflystair::config
