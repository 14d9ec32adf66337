#pragma once

#include "dragonflystair/support/finding.h"

#include "ini_document.h"

#include <cstddef>
#include <string_view>

namespace dragonflystair::config {

/// Longest line that is read, in bytes; a longer one is a finding. It holds a list of thousands of
/// versions, while inih's own default of 200 bytes would cut off a list of ten addresses.
inline constexpr std::size_t max_line_bytes = 60'000;

/// Reads a text with inih. Reports lines that are not INI, too long, not UTF-8 or contain control
/// characters, and keys outside a section. Nothing is cut off or dropped without a finding.
ini_document read_ini(std::string_view text, std::string_view file, support::findings& findings);

} // namespace dragonflystair::config
