#pragma once

#include "dragonflystair/ledger/config_fold.h"

#include "config_view.h"

#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace dragonflystair::node {

/// Shared table of the configuration: the fold and an immutable view of what is in force.
class config_table {
public:
    config_table();

    void apply(std::span<const ledger::stream_entry> entries);
    void restore(const support::json& state);

    [[nodiscard]] std::uint64_t next_offset() const;
    /// False while the fold waits for a snapshot that covers entries it has missed.
    [[nodiscard]] bool complete() const;
    [[nodiscard]] support::json state() const;
    [[nodiscard]] std::shared_ptr<const config_view> view() const;
    [[nodiscard]] std::vector<ledger::change_outcome> history() const;

private:
    void publish_view();
    [[nodiscard]] std::shared_ptr<config_view> view_after_adapters() const;
    [[nodiscard]] std::shared_ptr<config_view> whole_view() const;

    mutable std::mutex mutex_; ///< First in the lock order.
    ledger::config_fold fold_;

    /// Of the pointer only, so that requests do not wait while a new view is made.
    mutable std::mutex view_mutex_;
    std::shared_ptr<const config_view> view_;
};

} // namespace dragonflystair::node
