#include "config_table.h"

#include "dragonflystair/support/log.h"

#include <string>
#include <utility>

namespace dragonflystair::node {

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
    const std::lock_guard lock(mutex_);
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
    auto next = std::make_shared<config_view>();
    next->revision = fold_.revision();
    for (const auto& [name, state] : fold_.sections()) {
        next->sections[name] = state.values;
    }
    auto parsed = config::from_sections(next->sections);
    for (const auto& item : parsed.findings) {
        support::log_change("configuration_finding", {{"message", item.message}});
    }
    next->deployment = std::move(parsed.values);
    support::log_change("configuration_in_force", {{"revision", std::to_string(next->revision)}});
    view_ = std::move(next);
}

} // namespace dragonflystair::node
