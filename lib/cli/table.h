#pragma once

#include "dragonflystair/support/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::cli {

/// Aligned columns, the first row being the heading. The last column is not padded.
std::string render_table(const std::vector<std::vector<std::string>>& rows);

/// Text of a member: strings as they are, booleans as yes or no, lists joined by `, `, and `-` for
/// an empty, missing or other value.
std::string member_text(const support::json& object, std::string_view name);

/// The member if it is a list, or an empty list.
support::json member_list(const support::json& object, std::string_view name);

} // namespace dragonflystair::cli
