#include "dragonflystair/support/finding.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace dragonflystair::support {

std::string to_string(const finding& entry) {
    return fmt::format("{}:{}: error: {}", entry.file, entry.line, entry.message);
}

std::string to_string(findings entries) {
    std::ranges::stable_sort(entries, [](const finding& left, const finding& right) {
        return std::tie(left.file, left.line) < std::tie(right.file, right.line);
    });
    std::string text;
    for (const auto& entry : entries) {
        text += to_string(entry) + '\n';
    }
    return text;
}

} // namespace dragonflystair::support
