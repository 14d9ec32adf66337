#pragma once

#include "dragonflystair/support/finding.h"

#include "ini_document.h"

#include <cstddef>
#include <string_view>

namespace dragonflystair::config {

/// Maximum length of a line in bytes; a longer line is a finding. A list of thousands of versions
/// fits into it, while inih's own default of 200 bytes would truncate a list of ten addresses.
inline constexpr std::size_t max_line_bytes = 60'000;

/// Parses a text with inih. Reports lines that are not INI, are too long, are not UTF-8 or contain
/// control characters, and keys outside a section. No content is truncated or dropped without a
/// finding.
ini_document read_ini(std::string_view text, std::string_view file, support::findings& findings);

} // namespace dragonflystair::config
