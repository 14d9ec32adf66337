#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace dragonflystair::config {

/// Parses a number in the decimal form of `std::from_chars`. Returns nothing unless the number
/// spans the whole value.
template <class Number> std::optional<Number> parse_whole(std::string_view value) {
    Number number{};
    const auto [end, code] = std::from_chars(value.begin(), value.end(), number);
    if (value.empty() || code != std::errc{} || end != value.end()) {
        return std::nullopt;
    }
    return number;
}

} // namespace dragonflystair::config
