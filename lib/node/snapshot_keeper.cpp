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

void snapshot_keeper::tick(const member_table& members, std::uint64_t first, std::uint64_t next,
                           support::time_point now) {
    const auto half = first + (next - first) / 2;
    {
        const std::lock_guard lock(mutex_);
        const bool old = first > 0 && last_offset_.value_or(0) < half;
        const bool due = next > 0 && (old || now - last_time_ >= longest_period);
        const auto sessions = members.sessions();
        const auto own = members.own_session();
        if (pending_ || !due || !own || sessions.front().id != *own) {
            return;
        }
        pending_ = true;
    }
    // What has not changed in the newer half of the kept records is forgotten by all readers, above
    // all idempotency keys, whose window this is.
    const auto keep_from = first > 0 ? half : 0;
    writer_.append(ledger::snapshot{state_(), keep_from}, [this](ledger::position) {
        const std::lock_guard lock(mutex_);
        pending_ = false;
    });
}

} // namespace dragonflystair::node
