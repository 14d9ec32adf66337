#include "section_kinds.h"

#include "section_reader.h"
#include "service_section.h"
#include "values.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace dragonflystair::config {
namespace {

constexpr std::size_t max_concurrent_loads = 1'000'000;

/// One kind of section: `[NAME]` or `[NAME ARGUMENT]`.
struct section_kind {
    std::string_view name;
    bool takes_argument;
    void (*read)(section_reader& reader, const std::string& argument, located_deployment& target);
};

void read_deployment(section_reader& reader, const std::string&, located_deployment& target) {
    auto& values = target.values;
    values.name = reader.name("name");
    reader.number("store_loads_per_second", values.store_loads_per_second);
    reader.count("store_concurrent_loads", max_concurrent_loads, values.store_concurrent_loads);
    reader.count("transit_limit", max_concurrent_loads, values.transit_limit);
}

void read_data_centre(section_reader& reader, const std::string& argument,
                      located_deployment& target) {
    target.values.region_by_data_centre.emplace(argument, reader.name("region"));
}

constexpr std::array<section_kind, 4> kinds{{{"deployment", false, read_deployment},
                                             {"data_centre", true, read_data_centre},
                                             {"service", true, read_service},
                                             {"adapter", true, read_adapter}}};

std::string argument_error(const section_kind& kind, std::string_view argument) {
    if (!kind.takes_argument) {
        return argument.empty() ? "" : fmt::format("[{}] takes no name", kind.name);
    }
    const auto slash = argument.find('/');
    if (kind.name == "adapter") {
        const bool valid = slash != std::string_view::npos && is_name(argument.substr(0, slash)) &&
                           is_name(argument.substr(slash + 1));
        return valid ? "" : fmt::format("[adapter {}] is not [adapter SERVICE/NAME]", argument);
    }
    return is_name(argument)
               ? ""
               : fmt::format("[{0} {1}] is not [{0} NAME] (letters, digits, '.', '_', "
                             "'-')",
                             kind.name, argument);
}

section_values values_of(const ini_section& section) {
    section_values values;
    for (const auto& entry : section.entries) {
        values.emplace(entry.key, entry.value);
    }
    return values;
}

void read_section(const ini_section& section, const std::string& file, located_deployment& target,
                  support::findings& findings) {
    const auto blank = std::min(section.name.find(' '), section.name.size());
    const auto kind_name = section.name.substr(0, blank);
    const auto argument = section.name.substr(std::min(blank + 1, section.name.size()));
    const auto kind = std::ranges::find(kinds, kind_name, &section_kind::name);
    if (kind == kinds.end()) {
        findings.push_back(
            {file, section.line,
             fmt::format("unknown section kind '{}' in [{}]", kind_name, section.name)});
        return;
    }
    if (auto error = argument_error(*kind, argument); !error.empty()) {
        findings.push_back({file, section.line, std::move(error)});
        return;
    }
    section_reader reader(section, file, findings);
    kind->read(reader, argument, target);
    reader.finish();
}

} // namespace

located_deployment read_sections(const ini_document& document, support::findings& findings) {
    located_deployment result;
    for (const auto& section : document.sections) {
        const bool first = result.sections.emplace(section.name, values_of(section)).second;
        located_deployment unused;
        read_section(section, document.file, first ? result : unused, findings);
    }
    return result;
}

} // namespace dragonflystair::config
