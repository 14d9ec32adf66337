#pragma once

#include "log_writer.h"
#include "member_table.h"
#include "node_context.h"

#include <functional>
#include <mutex>
#include <span>

namespace dragonflystair::node {

/// Appends a snapshot of one stream's fold before the records that it stands for may be dropped.
class snapshot_keeper {
public:
    /// A snapshot is due after this many appends, or after this time if there was any append.
    static constexpr std::uint64_t appends_between_snapshots = 1'000;
    static constexpr std::chrono::minutes time_between_snapshots{10};
    /// What has not changed for this many appends is forgotten, idempotency keys above all. At 300
    /// appends a second it is an hour.
    static constexpr std::uint64_t key_window_appends = 1'000'000;

    snapshot_keeper(log_writer& writer, std::function<support::json()> state);

    /// Notes the snapshots among entries that were applied.
    void on_entries(std::span<const ledger::stream_entry> entries, support::time_point now);

    /// Appends a snapshot if one is due. Only the oldest live session writes, so that the work is
    /// done once; a second writer would do no harm.
    void tick(const member_table& members, std::uint64_t next_offset, support::time_point now);

private:
    log_writer& writer_;
    std::function<support::json()> state_;
    std::mutex mutex_;
    std::uint64_t last_offset_ = 0;
    support::time_point last_time_;
    bool pending_ = false;
};

} // namespace dragonflystair::node
