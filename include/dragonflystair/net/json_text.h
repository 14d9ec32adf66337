#pragma once

#include "dragonflystair/support/json.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Far above any message of ours or of the platform. The JSON library copies, writes and destroys
/// values recursively, so that a body of a megabyte of brackets would overflow a thread's stack.
inline constexpr std::size_t max_json_depth = 64;

/// Value of a text from outside; a discarded value if it is not JSON or nested too deeply. Every
/// body from a caller, an operator or the platform is read by this function.
support::json parse_json(std::string_view text);

/// Text of a value; nothing if a string in it is not UTF-8.
std::optional<std::string> serialize_json(const support::json& value);

} // namespace dragonflystair::net
