#include "dragonflystair/support/finding.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace dragonflystair::support {

std::string to_string(const finding& item) {
    return fmt::format("{}:{}: error: {}", item.file, item.line, item.message);
}

std::string to_string(findings items) {
    std::ranges::stable_sort(items, [](const finding& left, const finding& right) {
        return std::tie(left.file, left.line) < std::tie(right.file, right.line);
    });
    std::string text;
    for (const auto& item : items) {
        text += to_string(item) + '\n';
    }
    return text;
}

} // namespace dragonflystair::support
