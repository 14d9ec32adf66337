#include "service_section.h"

#include "values.h"

#include <fmt/format.h>

#include <algorithm>

namespace dragonflystair::config {
namespace {

constexpr std::string_view key_placeholder = "{key}";

bool is_path(std::string_view word) {
    return word.starts_with('/') && word.find_first_of(" \t,;?#") == std::string_view::npos;
}

bool is_method(std::string_view word) {
    return !word.empty() &&
           word.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos;
}

void read_operations(section_reader& reader, service& values) {
    const auto* entry = reader.find("non_idempotent");
    if (entry == nullptr) {
        return;
    }
    for (const auto& element : split_list(entry->value)) {
        const auto blank = std::min(element.find(' '), element.size());
        operation parsed{element.substr(0, blank),
                         element.substr(std::min(blank + 1, element.size()))};
        if (!is_method(parsed.method) || !is_path(parsed.path)) {
            reader.report(entry->line,
                          fmt::format("'{}' in non_idempotent is not METHOD /PATH", element));
            continue;
        }
        values.non_idempotent.push_back(std::move(parsed));
    }
}

void read_status_lookup(section_reader& reader, service& values) {
    const auto* entry = reader.find("status_lookup");
    if (entry == nullptr) {
        return;
    }
    if (!is_path(entry->value) || entry->value.find(key_placeholder) == std::string::npos) {
        reader.report(entry->line,
                      fmt::format("status_lookup = '{}' is not a path with {{key}}", entry->value));
        return;
    }
    values.status_lookup = entry->value;
}

void read_model_keys(section_reader& reader, service& values) {
    values.base_model = reader.text("base_model");
    if (values.base_model.find_first_of(" \t,;@") != std::string::npos) {
        reader.report(
            reader.find("base_model")->line,
            fmt::format("base_model = '{}' contains a blank, ',', ';' or '@'", values.base_model));
    }
    values.checks_fencing = reader.choice("checks_fencing", {"yes", "no"}) == "yes";
    values.long_work = reader.choice("class", {"short", "long"}) == "long";
}

void read_plain_keys(section_reader& reader, service& values) {
    read_operations(reader, values);
    read_status_lookup(reader, values);
}

/// Marks the keys of every kind as known, for a service whose kind is missing or invalid, so that
/// they cause no further findings.
void mark_keys_of_all_kinds_known(section_reader& reader) {
    for (const auto* key :
         {"base_model", "checks_fencing", "class", "non_idempotent", "status_lookup"}) {
        reader.find(key);
    }
}

void read_kind_keys(section_reader& reader, service& values) {
    if (reader.require("kind") == nullptr) {
        mark_keys_of_all_kinds_known(reader);
        return;
    }
    const auto kind = reader.choice("kind", {"model", "plain"});
    if (kind.empty()) {
        mark_keys_of_all_kinds_known(reader);
        return;
    }
    values.kind = kind == "model" ? service_kind::model : service_kind::plain;
    if (values.kind == service_kind::model) {
        read_model_keys(reader, values);
        return;
    }
    read_plain_keys(reader, values);
}

void read_references(section_reader& reader, service& values, located_deployment& target) {
    if (const auto* entry = reader.require("data_centres")) {
        values.data_centres = reader.names(*entry);
        target.data_centres_line[values.name] = entry->line;
        if (split_list(entry->value).empty()) {
            reader.report(
                entry->line,
                fmt::format("service '{}' has no endpoints: data_centres is empty", values.name));
        }
    }
    if (const auto* entry = reader.find("depends_on")) {
        values.depends_on = reader.names(*entry);
        target.depends_on_line[values.name] = entry->line;
    }
}

} // namespace

void read_service(section_reader& reader, const std::string& name, located_deployment& target) {
    service values;
    values.name = name;
    read_kind_keys(reader, values);
    read_references(reader, values, target);
    target.values.services.emplace(name, std::move(values));
}

void read_adapter(section_reader& reader, const std::string& full_name,
                  located_deployment& target) {
    adapter values;
    const auto slash = full_name.find('/');
    values.service = full_name.substr(0, slash);
    values.name = full_name.substr(slash + 1);
    if (const auto* entry = reader.require("versions")) {
        values.versions = reader.names(*entry);
        if (split_list(entry->value).empty()) {
            reader.report(entry->line, "versions is empty");
        }
    }
    values.current = reader.name("current");
    // Invalid or missing versions have been reported above.
    if (!values.current.empty() && !values.versions.empty() &&
        std::ranges::find(values.versions, values.current) == values.versions.end()) {
        reader.report(
            reader.find("current")->line,
            fmt::format("unknown version: current = '{}' is not among versions", values.current));
    }
    // An adapter without a class inherits that of its service once all sections have been read.
    values.long_work = reader.choice("class", {"short", "long"}) == "long";
    target.adapter_line[full_name] = reader.section().line;
    target.values.adapters.emplace(full_name, std::move(values));
}

} // namespace dragonflystair::config
