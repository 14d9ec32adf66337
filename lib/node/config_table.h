#pragma once

#include "dragonflystair/ledger/config_fold.h"

#include "config_view.h"

#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace dragonflystair::node {

/// Thread-safe table of the configuration: the fold of its stream and an immutable view of the
/// revision in force.
class config_table {
public:
    config_table();

    void apply(std::span<const ledger::stream_entry> entries);
    /// Replaces the state of the fold by one that a peer sent; has no effect if that is not newer.
    void restore(const support::json& state);

    [[nodiscard]] std::uint64_t next_offset() const;
    /// Returns false while the fold waits for a snapshot that covers entries it has missed.
    [[nodiscard]] bool complete() const;
    /// Returns the state of the fold, for snapshots and for peers that cannot reach the log.
    [[nodiscard]] support::json state() const;
    [[nodiscard]] std::shared_ptr<const config_view> view() const;
    /// Returns the outcomes of the last changes, newest last, with their conflicts.
    [[nodiscard]] std::vector<ledger::change_outcome> history() const;

private:
    void publish_view();
    [[nodiscard]] std::shared_ptr<config_view> view_with_changed_adapters() const;
    [[nodiscard]] std::shared_ptr<config_view> view_of_all_sections() const;

    mutable std::mutex mutex_; ///< First in the lock order.
    ledger::config_fold fold_;

    /// Protects only the pointer, so that requests are not blocked while a new view is built.
    mutable std::mutex view_mutex_;
    std::shared_ptr<const config_view> view_;
};

} // namespace dragonflystair::node
