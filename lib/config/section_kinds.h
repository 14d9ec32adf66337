#pragma once

#include "dragonflystair/support/finding.h"

#include "ini_document.h"
#include "located_deployment.h"

namespace dragonflystair::config {

/// Reads every section according to its kind and reports the errors within each section. Of
/// duplicate sections the first is used, and the others are only validated.
located_deployment read_sections(const ini_document& document, support::findings& findings);

} // namespace dragonflystair::config
