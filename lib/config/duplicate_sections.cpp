#include "duplicate_sections.h"

#include <fmt/format.h>

#include <map>
#include <string_view>

namespace dragonflystair::config {

void report_duplicate_sections(const ini_document& document, support::findings& findings) {
    std::map<std::string_view, int> first_lines;
    for (const auto& section : document.sections) {
        const auto [first_line, added] = first_lines.emplace(section.name, section.line);
        if (!added) {
            findings.push_back({document.file, section.line,
                                fmt::format("duplicate section [{}], first on line {}",
                                            section.name, first_line->second)});
        }
    }
}

} // namespace dragonflystair::config
