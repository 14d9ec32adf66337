#include "section_reader.h"

#include "values.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>

namespace dragonflystair::config {

section_reader::section_reader(const ini_section& section, std::string file,
                               support::findings& findings)
    : section_(section), file_(std::move(file)), findings_(findings) {
    std::map<std::string_view, int> first_lines;
    for (const auto& entry : section_.entries) {
        const auto [found, added] = first_lines.emplace(entry.key, entry.line);
        if (!added) {
            report(entry.line, fmt::format("duplicate key '{}' in [{}], first on line {}",
                                           entry.key, section_.name, found->second));
        }
    }
}

const ini_entry* section_reader::find(std::string_view key) {
    known_keys_.emplace(key);
    const auto found = std::ranges::find(section_.entries, key, &ini_entry::key);
    return found == section_.entries.end() ? nullptr : &*found;
}

const ini_entry* section_reader::require(std::string_view key) {
    const auto* entry = find(key);
    if (entry == nullptr && !section_.has_unreadable_line) {
        report(section_.line, fmt::format("missing key '{}' in [{}]", key, section_.name));
    }
    return entry;
}

std::string section_reader::text(std::string_view key) {
    const auto* entry = require(key);
    if (entry == nullptr) {
        return {};
    }
    if (entry->value.empty()) {
        report(entry->line, fmt::format("{} is empty", key));
    }
    return entry->value;
}

std::string section_reader::name(std::string_view key) {
    const auto* entry = require(key);
    if (entry == nullptr) {
        return {};
    }
    if (!is_name(entry->value)) {
        report(entry->line, fmt::format("{} = '{}' is not a name (letters, digits, '.', '_', '-')",
                                        key, entry->value));
        return {};
    }
    return entry->value;
}

std::string section_reader::address(std::string_view key, port_zero zero) {
    const auto* entry = require(key);
    if (entry == nullptr) {
        return {};
    }
    if (const auto error = address_error(entry->value, zero); !error.empty()) {
        report(entry->line, fmt::format("{} = '{}' is not IP:PORT: {}", key, entry->value, error));
        return {};
    }
    return entry->value;
}

std::vector<std::string> section_reader::names(const ini_entry& entry) {
    std::vector<std::string> valid_names;
    for (auto& name : split_list(entry.value)) {
        if (!is_name(name)) {
            report(entry.line,
                   fmt::format("'{}' in {} is not a name (letters, digits, '.', '_', '-')", name,
                               entry.key));
            continue;
        }
        if (std::ranges::find(valid_names, name) != valid_names.end()) {
            report(entry.line, fmt::format("'{}' is in {} twice", name, entry.key));
            continue;
        }
        valid_names.push_back(std::move(name));
    }
    return valid_names;
}

std::string section_reader::choice(std::string_view key,
                                   std::initializer_list<std::string_view> choices) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return {};
    }
    if (std::ranges::find(choices, entry->value) == choices.end()) {
        report(entry->line, fmt::format("{} = '{}' is not one of: {}", key, entry->value,
                                        fmt::join(choices, ", ")));
        return {};
    }
    return entry->value;
}

void section_reader::number(std::string_view key, double& value) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return;
    }
    const auto parsed = parse_number(entry->value);
    if (!parsed || *parsed <= 0) {
        report(entry->line,
               fmt::format("{} = '{}' is not a number above 0 without a unit", key, entry->value));
        return;
    }
    value = *parsed;
}

void section_reader::count(std::string_view key, std::size_t largest, std::size_t& value) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return;
    }
    const auto parsed = parse_count(entry->value);
    if (!parsed || *parsed == 0 || *parsed > largest) {
        report(entry->line, fmt::format("{} = '{}' is not a whole number from 1 to {}", key,
                                        entry->value, largest));
        return;
    }
    value = *parsed;
}

void section_reader::duration(std::string_view key, std::chrono::milliseconds& value) {
    const auto* entry = find(key);
    if (entry == nullptr) {
        return;
    }
    const auto parsed = parse_duration(entry->value);
    if (!parsed) {
        report(entry->line,
               fmt::format("{} = '{}' is not a duration with unit ms, s or min, such as 10s", key,
                           entry->value));
        return;
    }
    value = *parsed;
}

void section_reader::finish() {
    for (const auto& entry : section_.entries) {
        if (!known_keys_.contains(entry.key)) {
            report(entry.line, fmt::format("unknown key '{}' in [{}], known are: {}", entry.key,
                                           section_.name, fmt::join(known_keys_, ", ")));
        }
    }
}

void section_reader::report(int line, std::string message) {
    findings_.push_back({file_, line, std::move(message)});
}

} // namespace dragonflystair::config
