#pragma once

#include "log_writer.h"
#include "member_table.h"
#include "node_context.h"

#include <functional>
#include <mutex>
#include <optional>
#include <span>

namespace dragonflystair::node {

/// Appends a snapshot of one stream's fold before the records that it stands for may be dropped.
class snapshot_keeper {
public:
    /// A snapshot is written at least this often, since the log keeps records for a limited time
    /// that it does not tell, and a quiet stream would otherwise run empty.
    static constexpr std::chrono::minutes longest_period{10};

    snapshot_keeper(log_writer& writer, std::function<support::json()> state);

    /// Notes the snapshots among entries that were applied.
    void on_entries(std::span<const ledger::stream_entry> entries, support::time_point now);

    /// Appends a snapshot if one is due: when the last one is in the older half of what the log
    /// keeps (`first` to `next`). Only the oldest live session writes, so that the work is done
    /// once; a second writer would do no harm.
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
