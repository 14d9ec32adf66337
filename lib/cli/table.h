#pragma once

#include "dragonflystair/support/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::cli {

/// Renders rows as aligned columns; the first row is the heading. The last column is not padded.
std::string render_table(const std::vector<std::vector<std::string>>& rows);

/// Returns a member as text: strings unchanged, booleans as yes or no, lists joined by `, `, and
/// `-` for an empty, missing or other value.
std::string member_text(const support::json& object, std::string_view name);

/// Returns the member if it is a list, otherwise an empty list.
support::json member_list(const support::json& object, std::string_view name);

} // namespace dragonflystair::cli
