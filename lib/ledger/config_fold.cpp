#include "dragonflystair/ledger/config_fold.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace dragonflystair::ledger {

namespace {

using support::json;

/// Returns the elements of a comma-separated value without surrounding blanks.
std::vector<std::string> list_elements(const section& values, const std::string& key) {
    std::vector<std::string> elements;
    const auto found = values.find(key);
    if (found == values.end()) {
        return elements;
    }
    constexpr std::string_view blanks = " \t\r\n";
    std::string_view rest = found->second;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        const auto element = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        const auto first = element.find_first_not_of(blanks);
        if (first != std::string_view::npos) {
            elements.emplace_back(
                element.substr(first, element.find_last_not_of(blanks) - first + 1));
        }
    }
    return elements;
}

json encode(const change_outcome& outcome) {
    return {{"at", outcome.at},
            {"base", outcome.base},
            {"author", outcome.author},
            {"sections", outcome.sections},
            {"conflicts", outcome.conflicts}};
}

change_outcome decode(const json& value) {
    change_outcome outcome;
    value.at("at").get_to(outcome.at);
    value.at("base").get_to(outcome.base);
    value.at("author").get_to(outcome.author);
    value.at("sections").get_to(outcome.sections);
    value.at("conflicts").get_to(outcome.conflicts);
    return outcome;
}

} // namespace

std::vector<std::string> references(const std::string& name, const section& values) {
    constexpr std::string_view service_kind = "service ";
    constexpr std::string_view adapter_kind = "adapter ";
    std::vector<std::string> names;
    if (name.starts_with(adapter_kind)) {
        const auto path = name.substr(adapter_kind.size());
        names.push_back("service " + path.substr(0, path.find('/')));
        return names;
    }
    if (!name.starts_with(service_kind)) {
        return names;
    }
    for (const auto& data_centre : list_elements(values, "data_centres")) {
        names.push_back("data_centre " + data_centre);
    }
    for (const auto& service : list_elements(values, "depends_on")) {
        names.push_back("service " + service);
    }
    return names;
}

void config_fold::apply_record(position at, const record& content) {
    if (const auto* change = std::get_if<config_change>(&content)) {
        apply_change(at, *change);
    }
}

void config_fold::apply_change(position at, const config_change& change) {
    if (change.base >= at) {
        return;
    }
    change_outcome outcome{at, change.base, change.author, {}, find_conflicts(change)};
    for (const auto& [name, values] : change.sections) {
        outcome.sections.push_back(name);
    }
    if (outcome.conflicts.empty()) {
        for (const auto& [name, values] : change.sections) {
            set_section(at, name, values);
        }
        revision_ = at;
    }
    history_.push_back(std::move(outcome));
    if (history_.size() > max_history) {
        history_.pop_front();
    }
}

void config_fold::set_section(position at, const std::string& name,
                              const std::optional<section>& values) {
    if (!values) {
        sections_.erase(name);
        removed_[name] = at;
        return;
    }
    removed_.erase(name);
    sections_[name] = {*values, at};
}

position config_fold::revision_of(const std::string& name) const {
    if (const auto found = sections_.find(name); found != sections_.end()) {
        return found->second.revision;
    }
    const auto found = removed_.find(name);
    return found == removed_.end() ? 0 : found->second;
}

std::vector<std::string> config_fold::find_conflicts(const config_change& change) const {
    std::set<std::string> names;
    const auto check = [&](const std::string& name) {
        if (revision_of(name) > change.base) {
            names.insert(name);
        }
    };
    std::set<std::string> removed;
    for (const auto& [name, values] : change.sections) {
        check(name);
        if (!values) {
            removed.insert(name);
            continue;
        }
        std::ranges::for_each(references(name, *values), check);
    }
    if (removed.empty()) {
        return {names.begin(), names.end()};
    }
    for (const auto& [name, state] : sections_) {
        const auto referenced = references(name, state.values);
        if (std::ranges::any_of(
                referenced, [&](const auto& reference) { return removed.contains(reference); })) {
            check(name);
        }
    }
    return {names.begin(), names.end()};
}

void config_fold::discard_before(std::uint64_t /*offset*/) {
    // Positions of removals are kept: a change on a base from before a removal must still conflict
    // with it.
}

support::json config_fold::body() const {
    auto sections = json::object();
    for (const auto& [name, state] : sections_) {
        sections[name] = {{"values", state.values}, {"revision", state.revision}};
    }
    auto history = json::array();
    for (const auto& outcome : history_) {
        history.push_back(encode(outcome));
    }
    return {{"revision", revision_},
            {"sections", std::move(sections)},
            {"removed", removed_},
            {"history", std::move(history)}};
}

void config_fold::load_body(const support::json& value) {
    const auto revision = value.at("revision").get<position>();
    auto removed = value.at("removed").get<std::map<std::string, position>>();
    std::map<std::string, section_state> sections;
    for (const auto& [name, state] : value.at("sections").items()) {
        sections[name] = {state.at("values").get<section>(), state.at("revision").get<position>()};
    }
    std::deque<change_outcome> history;
    for (const auto& outcome : value.at("history")) {
        history.push_back(decode(outcome));
    }
    revision_ = revision;
    removed_ = std::move(removed);
    sections_ = std::move(sections);
    history_ = std::move(history);
}

} // namespace dragonflystair::ledger
