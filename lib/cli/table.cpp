#include "table.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace dragonflystair::cli {
namespace {

constexpr std::string_view no_value = "-";

std::string value_text(const support::json& value) {
    if (value.is_string() && !value.get_ref<const std::string&>().empty()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_number()) {
        return value.dump();
    }
    if (value.is_array() && !value.empty()) {
        std::vector<std::string> items;
        std::ranges::transform(value, std::back_inserter(items), value_text);
        return fmt::format("{}", fmt::join(items, ", "));
    }
    return std::string(no_value);
}

} // namespace

std::string render_table(const std::vector<std::vector<std::string>>& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column) {
            text += fmt::format("{:<{}}  ", row[column], widths[column]);
        }
        text += row.back() + '\n';
    }
    return text;
}

std::string member_text(const support::json& object, std::string_view name) {
    const auto found = object.is_object() ? object.find(name) : object.end();
    return found == object.end() ? std::string(no_value) : value_text(*found);
}

support::json member_list(const support::json& object, std::string_view name) {
    const auto found = object.is_object() ? object.find(name) : object.end();
    return found != object.end() && found->is_array() ? *found : support::json::array();
}

} // namespace dragonflystair::cli
