#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace dragonflystair::config {

/// Returns why a line is invalid (too long, not UTF-8, control character), or an empty string if it
/// is valid.
std::string line_error(std::string_view line, std::size_t limit_bytes);

} // namespace dragonflystair::config
