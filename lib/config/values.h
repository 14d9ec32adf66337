#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::config {

/// Items of a comma-separated list without surrounding blanks; empty items are kept.
std::vector<std::string> split_list(std::string_view value);

/// Whether a word is a name: letters, digits, `.`, `_` and `-`. Names occur in paths, in
/// `service/adapter@version` and in lists, so `/`, `@`, `,` and blanks cannot be part of one.
bool is_name(std::string_view word);

/// Duration with the unit `ms`, `s` or `min`, above zero and at most a day.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view value);

/// Whole decimal number.
std::optional<std::size_t> parse_count(std::string_view value);

/// Decimal number without a unit.
std::optional<double> parse_number(std::string_view value);

} // namespace dragonflystair::config
