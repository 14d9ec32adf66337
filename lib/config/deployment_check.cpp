#include "dragonflystair/config/deployment_check.h"

#include "dragonflystair/support/entry_difference.h"

#include "ini_reader.h"
#include "values.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace dragonflystair::config {

using support::severity;

namespace {

/// Returns the line of an entry, or 0 if it does not exist.
int line_of(const ini_document& document, std::string_view section, std::string_view key) {
    const auto found = std::ranges::find(document.sections, section, &ini_section::name);
    if (found == document.sections.end()) {
        return 0;
    }
    const auto entry = std::ranges::find(found->entries, key, &ini_entry::key);
    return entry == found->entries.end() ? 0 : entry->line;
}

/// Returns whether all calls that match `covered` match `by` too.
bool covers(const operation& by, const operation& covered) {
    service one;
    one.non_idempotent = {by};
    return one.is_non_idempotent(covered.method, covered.path);
}

/// Returns the operation that makes the one at `index` needless, or null. Of two operations that
/// are equal, the later one is needless.
const operation* covering(const std::vector<operation>& operations, std::size_t index) {
    const auto& covered = operations[index];
    for (std::size_t i = 0; i < operations.size(); ++i) {
        if (i != index && covers(operations[i], covered) &&
            (i < index || !covers(covered, operations[i]))) {
            return &operations[i];
        }
    }
    return nullptr;
}

support::findings warnings_of(const service& checked, const ini_document& document) {
    support::findings warnings;
    const auto section = "service " + checked.name;
    for (std::size_t i = 0; i < checked.non_idempotent.size(); ++i) {
        if (const auto* by = covering(checked.non_idempotent, i)) {
            const auto& operation = checked.non_idempotent[i];
            warnings.push_back(
                {{},
                 line_of(document, section, "non_idempotent"),
                 fmt::format("'{} {}' in non_idempotent has no effect: '{} {}' "
                             "covers it",
                             operation.method, operation.path, by->method, by->path)});
        }
    }
    if (!checked.status_lookup.empty() && checked.non_idempotent.empty()) {
        warnings.push_back({{},
                            line_of(document, section, "status_lookup"),
                            "status_lookup has no effect without non_idempotent"});
    }
    return warnings;
}

support::findings warnings_of(const deployment& checked, const ini_document& document) {
    support::findings warnings;
    if (checked.store_concurrent_loads > checked.transit_limit) {
        const int line = std::max(line_of(document, "deployment", "store_concurrent_loads"),
                                  line_of(document, "deployment", "transit_limit"));
        warnings.push_back({{},
                            line,
                            fmt::format("store_concurrent_loads = {} is over transit_limit = {}",
                                        checked.store_concurrent_loads, checked.transit_limit)});
    }
    for (const auto& [name, service] : checked.services) {
        auto found = warnings_of(service, document);
        warnings.insert(warnings.end(), found.begin(), found.end());
    }
    return warnings;
}

std::vector<support::described_entry> describe(const section_map& sections) {
    std::vector<support::described_entry> entries;
    for (const auto& [name, values] : sections) {
        support::described_entry entry{fmt::format("[{}]", name), {}};
        for (const auto& [key, value] : values) {
            entry.fields.push_back({key, fmt::format("{}", fmt::join(split_list(value), ", "))});
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace

checked_deployment check_deployment(std::string_view text) {
    const auto parsed = parse_deployment(text, {});
    support::findings ignored;
    const auto document = read_ini(text, {}, ignored);
    struct levelled {
        severity level;
        support::finding entry;
    };
    std::vector<levelled> all;
    for (const auto& entry : parsed.findings) {
        all.push_back({severity::error, entry});
    }
    for (const auto& entry : warnings_of(parsed.values, document)) {
        all.push_back({severity::warning, entry});
    }
    std::ranges::stable_sort(all, {}, [](const levelled& found) { return found.entry.line; });
    checked_deployment out{parsed.sections, {}};
    for (const auto& [level, entry] : all) {
        out.findings.push_back({level, fmt::format("{}", entry.line), entry.message});
    }
    return out;
}

std::vector<std::string> differences(const section_map& from, const section_map& to) {
    return support::differences(describe(from), describe(to));
}

} // namespace dragonflystair::config
