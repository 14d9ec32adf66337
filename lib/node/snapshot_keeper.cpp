#include "snapshot_keeper.h"

#include <utility>

namespace dragonflystair::node {

namespace {

bool contains_snapshot(const ledger::stream_entry& entry) {
    if (!entry.payload.is_array()) {
        return false;
    }
    for (const auto& record : entry.payload) {
        if (record.is_object() && record.contains("type") && record["type"] == "snapshot") {
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
        if (contains_snapshot(entry)) {
            last_offset_ = entry.offset;
            last_time_ = now;
        }
    }
}

void snapshot_keeper::tick(const member_table& members, std::uint64_t first, std::uint64_t next,
                           support::time_point now) {
    const auto middle = first + (next - first) / 2;
    {
        const std::lock_guard lock(mutex_);
        const bool in_older_half = first > 0 && last_offset_.value_or(0) < middle;
        const bool due = next > 0 && (in_older_half || now - last_time_ >= max_snapshot_interval);
        const auto sessions = members.sessions();
        const auto own = members.own_session();
        if (pending_ || !due || !own || sessions.front().id != *own) {
            return;
        }
        pending_ = true;
    }
    // On applying this snapshot, all readers evict state that has not changed in the newer half of
    // the retained records. This mainly affects idempotency keys, whose retention window is defined
    // by this eviction.
    const auto keep_from = first > 0 ? middle : 0;
    writer_.append(ledger::snapshot{state_(), keep_from}, [this](ledger::position) {
        const std::lock_guard lock(mutex_);
        pending_ = false;
    });
}

} // namespace dragonflystair::node
