#include "dragonflystair/support/entry_difference.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace dragonflystair::support {
namespace {

using entries_by_name = std::map<std::string_view, const described_entry*>;

entries_by_name by_name(std::span<const described_entry> entries) {
    entries_by_name result;
    for (const auto& entry : entries) {
        result.emplace(entry.name, &entry);
    }
    return result;
}

const described_field* find_field(const described_entry& entry, std::string_view name) {
    const auto found = std::ranges::find(entry.fields, name, &described_field::name);
    return found == entry.fields.end() ? nullptr : &*found;
}

std::string change(const described_field& from, const described_field& to) {
    if (from.secret || to.secret) {
        return fmt::format("{} replaced", to.name);
    }
    const auto shown = [](const std::string& value) { return value.empty() ? "none" : value; };
    return fmt::format("{} from {} to {}", to.name, shown(from.value), shown(to.value));
}

/// Returns the changed fields, in the order of `to`, followed by those that only `from` has.
std::vector<std::string> field_changes(const described_entry& from, const described_entry& to) {
    std::vector<std::string> changes;
    for (const auto& field : to.fields) {
        const auto* previous = find_field(from, field.name);
        const described_field unset{field.name, {}, field.secret};
        if (const auto& old = previous == nullptr ? unset : *previous; old.value != field.value) {
            changes.push_back(change(old, field));
        }
    }
    for (const auto& field : from.fields) {
        if (!field.value.empty() && find_field(to, field.name) == nullptr) {
            changes.push_back(change(field, {field.name, {}, field.secret}));
        }
    }
    return changes;
}

} // namespace

std::vector<std::string> differences(std::span<const described_entry> from,
                                     std::span<const described_entry> to) {
    std::vector<std::string> lines;
    const auto previous = by_name(from);
    for (const auto& entry : to) {
        const auto found = previous.find(entry.name);
        if (found == previous.end()) {
            lines.push_back(fmt::format("added: {}", entry.name));
            continue;
        }
        if (const auto changes = field_changes(*found->second, entry); !changes.empty()) {
            lines.push_back(fmt::format("changed: {}: {}", entry.name, fmt::join(changes, "; ")));
        }
    }
    const auto current = by_name(to);
    for (const auto& entry : from) {
        if (!current.contains(entry.name)) {
            lines.push_back(fmt::format("removed: {}", entry.name));
        }
    }
    return lines;
}

} // namespace dragonflystair::support
