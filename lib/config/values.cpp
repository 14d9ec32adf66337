#include "values.h"

#include "parse_whole.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <cmath>

namespace dragonflystair::config {
namespace {

std::optional<std::chrono::milliseconds> unit_of(std::string_view unit) {
    using namespace std::chrono_literals;
    if (unit == "ms") {
        return 1ms;
    }
    if (unit == "s") {
        return 1s;
    }
    if (unit == "min") {
        return 1min;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::string> split_list(std::string_view value) {
    std::vector<std::string> elements;
    boost::algorithm::split(elements, value, boost::algorithm::is_any_of(","));
    for (auto& element : elements) {
        boost::algorithm::trim(element);
    }
    if (elements.size() == 1 && elements.front().empty()) {
        elements.clear();
    }
    return elements;
}

bool is_name(std::string_view word) {
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789._-";
    return !word.empty() && word.find_first_not_of(letters) == std::string_view::npos;
}

std::optional<std::chrono::milliseconds> parse_duration(std::string_view value) {
    constexpr std::chrono::milliseconds longest = std::chrono::hours{24};
    const auto digits = std::min(value.find_first_not_of("0123456789"), value.size());
    const auto count = parse_whole<std::uint32_t>(value.substr(0, digits));
    const auto unit = unit_of(value.substr(digits));
    if (!count || !unit || *count == 0 || *count > longest / *unit) {
        return std::nullopt;
    }
    return *count * *unit;
}

std::optional<std::size_t> parse_count(std::string_view value) {
    return parse_whole<std::size_t>(value);
}

std::optional<double> parse_number(std::string_view value) {
    const auto number = parse_whole<double>(value);
    return number && std::isfinite(*number) ? number : std::nullopt;
}

} // namespace dragonflystair::config
