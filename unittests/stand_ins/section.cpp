#include "section.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ini.h>
#include <stdexcept>

namespace dragonflystair::stand_ins {

namespace {

std::string trimmed(std::string_view value) {
    const auto begin = value.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
        return {};
    }
    return std::string(value.substr(begin, value.find_last_not_of(" \t") - begin + 1));
}

int add_value(void* user, const char* title, const char* key, const char* value) {
    auto& sections = *static_cast<std::vector<section>*>(user);
    const std::string_view heading(title);
    const auto blank = std::min(heading.find(' '), heading.size());
    const section wanted(std::string(heading.substr(0, blank)), trimmed(heading.substr(blank)));
    auto found = std::ranges::find_if(sections, [&](const section& known) {
        return known.kind() == wanted.kind() && known.name() == wanted.name();
    });
    if (found == sections.end()) {
        found = sections.insert(found, wanted);
    }
    found->set(key, value);
    return 1;
}

} // namespace

std::string section::text(const std::string& key, std::string_view fallback) {
    used_.insert(key);
    const auto found = values_.find(key);
    return found == values_.end() ? std::string(fallback) : found->second;
}

std::uint64_t section::number(const std::string& key, std::uint64_t fallback) {
    const auto value = text(key, std::to_string(fallback));
    std::uint64_t parsed = 0;
    const auto* end = value.data() + value.size();
    const auto [stop, fault] = std::from_chars(value.data(), end, parsed);
    if (fault != std::errc{} || stop != end) {
        fail(key, "a whole number");
    }
    return parsed;
}

bool section::yes_or_no(const std::string& key, bool fallback) {
    const auto value = text(key, fallback ? "yes" : "no");
    if (value != "yes" && value != "no") {
        fail(key, "yes or no");
    }
    return value == "yes";
}

std::chrono::milliseconds section::duration(const std::string& key,
                                            std::chrono::milliseconds fallback) {
    const auto value = text(key, fmt::format("{}ms", fallback.count()));
    std::uint64_t amount = 0;
    const auto* end = value.data() + value.size();
    const auto [stop, fault] = std::from_chars(value.data(), end, amount);
    const std::string_view unit(stop, end);
    if (fault != std::errc{} || (unit != "ms" && unit != "s")) {
        fail(key, "a duration such as 250ms or 2s");
    }
    return std::chrono::milliseconds{unit == "s" ? amount * 1000 : amount};
}

std::vector<std::string> section::list(const std::string& key, std::string_view fallback) {
    const auto value = text(key, fallback);
    std::vector<std::string> items;
    for (std::size_t begin = 0; begin < value.size();) {
        const auto comma = std::min(value.find(',', begin), value.size());
        items.push_back(trimmed(std::string_view(value).substr(begin, comma - begin)));
        begin = comma + 1;
    }
    return items;
}

void section::check_all_used() const {
    for (const auto& [key, value] : values_) {
        if (!used_.contains(key)) {
            throw std::runtime_error(fmt::format("[{}] has an unknown key '{}'", name(), key));
        }
    }
}

void section::fail(const std::string& key, std::string_view expected) const {
    throw std::runtime_error(fmt::format("[{}] {} must be {}", name(), key, expected));
}

std::vector<section> read_settings(const std::string& file) {
    std::vector<section> sections;
    const int line = ini_parse(file.c_str(), add_value, &sections);
    if (line < 0) {
        throw std::runtime_error(fmt::format("{}: cannot be read", file));
    }
    if (line > 0) {
        throw std::runtime_error(fmt::format("{}:{}: error: syntax error", file, line));
    }
    return sections;
}

} // namespace dragonflystair::stand_ins
