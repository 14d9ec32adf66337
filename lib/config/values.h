#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Returns the elements of a comma-separated list without surrounding blanks. Empty elements are
/// kept, but an empty value has no elements.
std::vector<std::string> split_list(std::string_view value);

/// Returns whether a word is a name: letters, digits, `.`, `_` and `-`. Names occur in paths, in
/// `service/adapter@version` and in lists, so they cannot contain `/`, `@`, `,` or blanks.
bool is_name(std::string_view word);

/// Parses a duration with the unit `ms`, `s` or `min`, above zero and at most a day.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view value);

/// Parses a whole decimal number.
std::optional<std::size_t> parse_count(std::string_view value);

/// Parses a finite decimal number without a unit.
std::optional<double> parse_number(std::string_view value);

} // namespace dragonflystair::config
