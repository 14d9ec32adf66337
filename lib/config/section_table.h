#pragma once

#include "dragonflystair/support/finding.h"

#include "duplicate_sections.h"
#include "ini_reader.h"
#include "section_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>

namespace dragonflystair::config {

/// Name of a section of a settings file, with the function that reads it.
template <class Values> struct section_kind {
    std::string_view name;
    bool required;
    void (*read)(section_reader& reader, Values& values);
};

/// Reads every section according to its kind. Reports unknown, duplicate and missing sections.
template <class Values, std::size_t Count>
Values read_sections(std::string_view text, std::string_view file,
                     const std::array<section_kind<Values>, Count>& kinds,
                     support::findings& findings) {
    Values values;
    const auto document = read_ini(text, file, findings);
    report_duplicate_sections(document, findings);
    for (const auto& section : document.sections) {
        const auto kind = std::ranges::find(kinds, section.name, &section_kind<Values>::name);
        if (kind == kinds.end()) {
            findings.push_back(
                {document.file, section.line, fmt::format("unknown section [{}]", section.name)});
            continue;
        }
        section_reader reader(section, document.file, findings);
        kind->read(reader, values);
        reader.finish();
    }
    for (const auto& kind : kinds) {
        const auto found = std::ranges::find(document.sections, kind.name, &ini_section::name);
        if (!document.has_unreadable_heading && kind.required && found == document.sections.end()) {
            findings.push_back({document.file, 0, fmt::format("missing section [{}]", kind.name)});
        }
    }
    std::ranges::stable_sort(findings, {}, &support::finding::line);
    return values;
}

/// Returns whether a text contains a section of one of the kinds.
template <class Values, std::size_t Count>
bool has_section(std::string_view text, const std::array<section_kind<Values>, Count>& kinds) {
    support::findings ignored;
    const auto document = read_ini(text, {}, ignored);
    return std::ranges::any_of(document.sections, [&](const ini_section& section) {
        return std::ranges::find(kinds, section.name, &section_kind<Values>::name) != kinds.end();
    });
}

} // namespace dragonflystair::config
