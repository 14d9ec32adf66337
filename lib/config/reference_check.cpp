#include "reference_check.h"

#include "dependency_cycles.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace dragonflystair::config {
namespace {

void check_service(const service& checked, const located_deployment& target,
                   const std::string& file, support::findings& findings) {
    for (const auto& name : checked.data_centres) {
        if (!target.values.region_by_data_centre.contains(name)) {
            findings.push_back(
                {file, target.data_centres_line.at(checked.name),
                 fmt::format("unknown data centre '{}' in [service {}]", name, checked.name)});
        }
    }
    for (const auto& name : checked.depends_on) {
        if (!target.values.services.contains(name)) {
            findings.push_back({file, target.depends_on_line.at(checked.name),
                                fmt::format("unknown service '{}' in depends_on of [service {}]",
                                            name, checked.name)});
        }
    }
}

void check_adapter(const std::string& full_name, const adapter& checked,
                   const located_deployment& target, const std::string& file,
                   support::findings& findings) {
    const int line = target.adapter_line.at(full_name);
    const auto found = target.values.services.find(checked.service);
    if (found == target.values.services.end()) {
        findings.push_back(
            {file, line,
             fmt::format("unknown service '{}' in [adapter {}]", checked.service, full_name)});
        return;
    }
    if (found->second.kind == service_kind::plain) {
        findings.push_back(
            {file, line,
             fmt::format("[adapter {}] refers to a plain service, which has no adapters",
                         full_name)});
    }
}

} // namespace

void check_references(const located_deployment& target, const std::string& file,
                      support::findings& findings) {
    for (const auto& [name, checked] : target.values.services) {
        check_service(checked, target, file, findings);
    }
    for (const auto& [full_name, checked] : target.values.adapters) {
        check_adapter(full_name, checked, target, file, findings);
    }
    for (const auto& cycle : dependency_cycles(target.values.services)) {
        findings.push_back({file, target.depends_on_line.at(cycle.front()),
                            fmt::format("dependency cycle: {}", fmt::join(cycle, " -> "))});
    }
}

} // namespace dragonflystair::config
