#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonflystair::config {

/// Why a line cannot be read (too long, not UTF-8, control character), or an empty string.
std::string line_fault(std::string_view line, std::size_t limit_bytes);

} // namespace dragonflystair::config
