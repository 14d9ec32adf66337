#pragma once

#include "dragonflystair/support/finding.h"

#include "ini_document.h"

namespace dragonflystair::config {

/// Reports sections that occur twice.
void report_duplicate_sections(const ini_document& document, support::findings& findings);

} // namespace dragonflystair::config
