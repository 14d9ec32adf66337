#include "dragonflystair/config/deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

namespace dragonflystair::config {
namespace {

/// Returns the sort key of a section. Sections are written before those that refer to them, as in
/// the documentation.
std::size_t rank(std::string_view name) {
    constexpr std::array<std::string_view, 4> order{"deployment", "data_centre", "service",
                                                    "adapter"};
    const auto kind = name.substr(0, name.find(' '));
    return static_cast<std::size_t>(std::ranges::find(order, kind) - order.begin());
}

} // namespace

std::string render(const section_map& sections) {
    std::vector<const section_map::value_type*> ordered;
    for (const auto& section : sections) {
        ordered.push_back(&section);
    }
    std::ranges::stable_sort(ordered, {}, [](const auto* section) { return rank(section->first); });
    std::string text;
    for (const auto* section : ordered) {
        text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", section->first);
        for (const auto& [key, value] : section->second) {
            text += fmt::format("{} = {}\n", key, value);
        }
    }
    return text;
}

std::map<std::string, std::optional<section_values>> changed_sections(const section_map& from,
                                                                      const section_map& to) {
    std::map<std::string, std::optional<section_values>> changes;
    for (const auto& [name, values] : to) {
        const auto previous = from.find(name);
        if (previous == from.end() || previous->second != values) {
            changes.emplace(name, values);
        }
    }
    for (const auto& [name, values] : from) {
        if (!to.contains(name)) {
            changes.emplace(name, std::nullopt);
        }
    }
    return changes;
}

} // namespace dragonflystair::config
