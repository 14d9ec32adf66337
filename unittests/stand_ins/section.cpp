#include "section.h"

#include <fmt/format.h>

#include <charconv>
#include <ini.h>
#include <stdexcept>

namespace dragonflystair::stand_ins {

namespace {

int add_value(void* user, const char* heading, const char* key, const char* value) {
    auto& sections = *static_cast<std::vector<section>*>(user);
    if (sections.empty() || sections.back().heading() != heading) {
        sections.emplace_back(heading);
    }
    sections.back().set(key, value);
    return 1;
}

} // namespace

section::section(std::string_view heading)
    : heading_(heading), kind_(heading.substr(0, heading.find(' '))),
      name_(heading.substr(heading.find(' ') + 1)) {}

std::string section::text(const std::string& key, std::string fallback) {
    auto taken = values_.extract(key);
    return taken ? std::move(taken.mapped()) : std::move(fallback);
}

std::uint64_t section::number(const std::string& key, std::uint64_t fallback) {
    return quantity(key, text(key, std::to_string(fallback)), {{"", 1}});
}

std::chrono::milliseconds section::duration(const std::string& key,
                                            std::chrono::milliseconds fallback) {
    const auto value = text(key, fmt::format("{}ms", fallback.count()));
    return std::chrono::milliseconds{quantity(key, value, {{"ms", 1}, {"s", 1'000}})};
}

bool section::yes_or_no(const std::string& key, bool fallback) {
    const auto value = text(key, fallback ? "yes" : "no");
    if (value != "yes" && value != "no") {
        throw std::runtime_error(fmt::format("[{}] {} must be yes or no", heading_, key));
    }
    return value == "yes";
}

void section::check_all_used() const {
    if (!values_.empty()) {
        throw std::runtime_error(
            fmt::format("[{}] has an unknown key '{}'", heading_, values_.begin()->first));
    }
}

std::uint64_t section::quantity(const std::string& key, const std::string& value,
                                const std::map<std::string_view, std::uint64_t>& units) const {
    std::uint64_t amount = 0;
    const auto* end = value.data() + value.size();
    const auto [stop, fault] = std::from_chars(value.data(), end, amount);
    const auto unit = units.find(std::string_view(stop, end));
    if (fault != std::errc{} || unit == units.end()) {
        throw std::runtime_error(fmt::format("[{}] {} = {} is not a whole number with {}", heading_,
                                             key, value,
                                             units.size() > 1 ? "unit ms or s" : "no unit"));
    }
    return amount * unit->second;
}

std::vector<section> read_settings(const std::string& file) {
    std::vector<section> sections;
    const int line = ini_parse(file.c_str(), add_value, &sections);
    if (line != 0) {
        throw std::runtime_error(fmt::format("{}:{}: error: cannot be read", file, line));
    }
    return sections;
}

} // namespace dragonflystair::stand_ins
