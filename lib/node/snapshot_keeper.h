#pragma once

#include "log_writer.h"
#include "member_table.h"
#include "node_context.h"

#include <functional>
#include <mutex>
#include <optional>
#include <span>

namespace dragonflystair::node {

/// Appends snapshots of one stream's fold before the log drops the records that they replace.
/// Thread-safe.
class snapshot_keeper {
public:
    /// Maximum time between snapshots. The log retains records for a limited time that it does not
    /// report, so a stream with few records would otherwise become empty.
    static constexpr std::chrono::minutes max_snapshot_interval{10};

    snapshot_keeper(log_writer& writer, std::function<support::json()> state);

    /// Records the offset and time of the last snapshot among entries that have been applied.
    void on_entries(std::span<const ledger::stream_entry> entries, support::time_point now);

    /// Appends a snapshot if one is due: if the last one is in the older half of the retained
    /// offsets
    /// (`first` to `next`), or older than `max_snapshot_interval`. Only the node with the oldest
    /// live session writes, to avoid duplicate work; a second snapshot would do no harm.
    void tick(const member_table& members, std::uint64_t first, std::uint64_t next,
              support::time_point now);

private:
    log_writer& writer_;
    std::function<support::json()> state_;
    std::mutex mutex_;
    std::optional<std::uint64_t> last_offset_;
    support::time_point last_time_;
    bool pending_ = false;
};

} // namespace dragonflystair::node
