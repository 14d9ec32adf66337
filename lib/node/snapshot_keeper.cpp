#include "snapshot_keeper.h"

#include <utility>

namespace dragonflystair::node {

namespace {

bool holds_snapshot(const ledger::stream_entry& entry) {
    if (!entry.payload.is_array()) {
        return false;
    }
    for (const auto& item : entry.payload) {
        if (item.is_object() && item.contains("type") && item["type"] == "snapshot") {
            return true;
        }
    }
    return false;
}

} // namespace

snapshot_keeper::snapshot_keeper(log_writer& writer, std::function<support::json()> state)
    : writer_(writer), state_(std::move(state)), last_time_(node_context::now()) {}

void snapshot_keeper::on_entries(std::span<const ledger::stream_entry> entries,
                                 support::time_point now) {
    const std::lock_guard lock(mutex_);
    for (const auto& entry : entries) {
        if (holds_snapshot(entry)) {
            last_offset_ = entry.offset;
            last_time_ = now;
        }
    }
}

void snapshot_keeper::tick(const member_table& members, std::uint64_t next_offset,
                           support::time_point now) {
    {
        const std::lock_guard lock(mutex_);
        const auto appends = next_offset > last_offset_ ? next_offset - last_offset_ : 0;
        const bool due = appends >= appends_between_snapshots ||
                         (appends > 1 && now - last_time_ >= time_between_snapshots);
        const auto sessions = members.sessions();
        const auto own = members.own_session();
        if (pending_ || !due || !own || sessions.front().id != *own) {
            return;
        }
        pending_ = true;
    }
    const auto keep_from = next_offset > key_window_appends ? next_offset - key_window_appends : 0;
    writer_.append(ledger::snapshot{state_(), keep_from}, [this](ledger::position) {
        const std::lock_guard lock(mutex_);
        pending_ = false;
    });
}

} // namespace dragonflystair::node
