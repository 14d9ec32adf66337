#pragma once

#include "dragonflystair/support/finding.h"

#include "ini_document.h"
#include "located_deployment.h"

namespace dragonflystair::config {

/// Reads every section by its kind and reports what is wrong within a section. The first of
/// duplicate sections counts, and the others are only checked.
located_deployment read_sections(const ini_document& document, support::findings& findings);

} // namespace dragonflystair::config
