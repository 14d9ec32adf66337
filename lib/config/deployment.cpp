#include "dragonflystair/config/deployment.h"

#include "duplicate_sections.h"
#include "ini_reader.h"
#include "reference_check.h"
#include "section_kinds.h"

#include <algorithm>

namespace dragonflystair::config {
namespace {

constexpr std::string_view sections_file_name = "configuration";

void inherit_service_classes(deployment& values, const section_map& sections) {
    for (auto& [full_name, adapter] : values.adapters) {
        const auto service = values.services.find(adapter.service);
        const auto section = sections.find("adapter " + full_name);
        if (service != values.services.end() && section != sections.end() &&
            !section->second.contains("class")) {
            adapter.long_work = service->second.long_work;
        }
    }
}

/// Builds and validates a deployment from a document, which was parsed from a text or made from
/// sections in force.
deployment_result build(const ini_document& document, support::findings findings) {
    auto read = read_sections(document, findings);
    if (!document.has_unreadable_heading && !read.sections.contains("deployment")) {
        findings.push_back({document.file, 0, "missing section [deployment]"});
    }
    check_references(read, document.file, findings);
    inherit_service_classes(read.values, read.sections);
    std::ranges::stable_sort(findings, {}, &support::finding::line);
    return {std::move(read.values), std::move(read.sections), std::move(findings)};
}

} // namespace

deployment_result parse_deployment(std::string_view text, std::string_view file) {
    support::findings findings;
    const auto document = read_ini(text, file, findings);
    report_duplicate_sections(document, findings);
    return build(document, std::move(findings));
}

deployment_result deployment_from_sections(const section_map& sections) {
    if (sections.empty()) {
        return {};
    }
    ini_document document;
    document.file = sections_file_name;
    for (const auto& [name, values] : sections) {
        ini_section section;
        section.name = name;
        for (const auto& [key, value] : values) {
            section.entries.push_back({key, value, 0});
        }
        document.sections.push_back(std::move(section));
    }
    return build(document, {});
}

const adapter* deployment::find_adapter(std::string_view model) const {
    const auto found_adapter = adapters.find(std::string(model.substr(0, model.find('@'))));
    return found_adapter == adapters.end() ? nullptr : &found_adapter->second;
}

std::optional<std::string> deployment::full_name(std::string_view model) const {
    const auto* found = find_adapter(model);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto at = model.find('@');
    const std::string version(at == std::string_view::npos ? found->current : model.substr(at + 1));
    if (std::ranges::find(found->versions, version) == found->versions.end()) {
        return std::nullopt;
    }
    return found->service + '/' + found->name + '@' + version;
}

} // namespace dragonflystair::config
