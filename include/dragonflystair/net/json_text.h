#pragma once

#include "dragonflystair/support/json.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Nesting limit, far above that of any message of this system or the platform. The JSON library
/// copies, writes and destroys values recursively, so that a megabyte of brackets would overflow a
/// thread's stack.
inline constexpr std::size_t max_json_depth = 64;

/// Parses an untrusted text. Returns a discarded value if it is not JSON or exceeds the nesting
/// limit. All bodies from callers, the operator and the platform are parsed by this function.
support::json parse_json(std::string_view text);

/// Serializes a value. Returns nullopt if a string in it is not UTF-8.
std::optional<std::string> serialize_json(const support::json& value);

/// Returns whether a text is UTF-8 and can be a string of a JSON value that is serialized.
bool is_utf8(std::string_view text);

} // namespace dragonflystair::net
