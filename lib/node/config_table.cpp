#include "config_table.h"

#include "dragonflystair/support/log.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::node {

namespace {

constexpr std::string_view adapter_prefix = "adapter ";

bool is_adapter(std::string_view section) {
    return section.starts_with(adapter_prefix);
}

/// Returns the sections that are newer than the view, and with a null value the removed ones.
std::map<std::string, const ledger::section*> changes_of(const config_view& view,
                                                         const ledger::config_fold& fold) {
    std::map<std::string, const ledger::section*> changes;
    for (const auto& [name, state] : fold.sections()) {
        if (state.revision > view.revision) {
            changes.emplace(name, &state.values);
        }
    }
    for (const auto& [name, values] : view.sections) {
        if (!fold.sections().contains(name)) {
            changes.emplace(name, nullptr);
        }
    }
    return changes;
}

void log_findings(const support::findings& findings) {
    for (const auto& finding : findings) {
        support::log_change("configuration_finding", {{"message", finding.message}});
    }
}

} // namespace

config_table::config_table() : view_(std::make_shared<config_view>()) {}

void config_table::apply(std::span<const ledger::stream_entry> entries) {
    const std::lock_guard lock(mutex_);
    for (const auto& entry : entries) {
        fold_.apply(entry);
    }
    publish_view();
}

void config_table::restore(const support::json& state) {
    const std::lock_guard lock(mutex_);
    fold_.restore(state);
    publish_view();
}

std::uint64_t config_table::next_offset() const {
    const std::lock_guard lock(mutex_);
    return fold_.next_offset();
}

bool config_table::complete() const {
    const std::lock_guard lock(mutex_);
    return !fold_.waits_for_snapshot();
}

support::json config_table::state() const {
    const std::lock_guard lock(mutex_);
    return fold_.state();
}

std::shared_ptr<const config_view> config_table::view() const {
    const std::lock_guard lock(view_mutex_);
    return view_;
}

std::vector<ledger::change_outcome> config_table::history() const {
    const std::lock_guard lock(mutex_);
    return {fold_.history().begin(), fold_.history().end()};
}

void config_table::publish_view() {
    if (fold_.revision() <= view_->revision) {
        return;
    }
    auto next = view_with_changed_adapters();
    if (!next) {
        next = view_of_all_sections();
    }
    next->revision = fold_.revision();
    support::log_change("configuration_in_force", {{"revision", std::to_string(next->revision)}});
    const std::lock_guard lock(view_mutex_);
    view_ = std::move(next);
}

std::shared_ptr<config_view> config_table::view_of_all_sections() const {
    auto next = std::make_shared<config_view>();
    for (const auto& [name, state] : fold_.sections()) {
        next->sections[name] = state.values;
    }
    auto parsed = config::deployment_from_sections(next->sections);
    log_findings(parsed.findings);
    next->deployment = std::move(parsed.values);
    return next;
}

/// Returns a copy of the view in force with the changed adapters parsed again, or null if any other
/// section has changed. No section refers to an adapter, so parsing the changed ones needs only the
/// sections that are not adapters. This takes a quarter of the time of parsing all of 23,000
/// sections.
std::shared_ptr<config_view> config_table::view_with_changed_adapters() const {
    const auto changes = changes_of(*view_, fold_);
    if (!std::ranges::all_of(changes,
                             [](const auto& change) { return is_adapter(change.first); })) {
        return nullptr;
    }
    auto next = std::make_shared<config_view>(*view_);
    config::section_map sections_to_parse;
    for (const auto& [name, values] : changes) {
        next->sections.erase(name);
        next->deployment.adapters.erase(name.substr(adapter_prefix.size()));
        if (values != nullptr) {
            next->sections.emplace(name, *values);
            sections_to_parse.emplace(name, *values);
        }
    }
    for (const auto& [name, state] : fold_.sections()) {
        if (!is_adapter(name)) {
            sections_to_parse.emplace(name, state.values);
        }
    }
    auto parsed = config::deployment_from_sections(sections_to_parse);
    log_findings(parsed.findings);
    next->deployment.adapters.merge(parsed.values.adapters);
    return next;
}

} // namespace dragonflystair::node
