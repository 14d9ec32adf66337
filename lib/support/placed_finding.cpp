#include "dragonflystair/support/placed_finding.h"

#include <fmt/format.h>

#include <iterator>

namespace dragonflystair::support {

std::string to_string(std::span<const placed_finding> entries, std::string_view file) {
    std::string text;
    for (const auto& entry : entries) {
        fmt::format_to(std::back_inserter(text), "{}:{}: {}: {}\n", file, entry.place,
                       entry.level == severity::error ? "error" : "warning", entry.message);
    }
    return text;
}

} // namespace dragonflystair::support
