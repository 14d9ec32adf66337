#pragma once

#include "dragonflystair/calls/call_coordinator.h"
#include "dragonflystair/ledger/claim_fold.h"

#include <functional>
#include <mutex>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::node {

/// Shared table of idempotency keys and of the unfinished non-idempotent calls of this node.
class claim_table {
public:
    using call_number = calls::call_coordinator::call_number;
    /// Receives the next step of a call that can proceed. Called without the table's lock.
    using step_hook = std::function<void(call_number, const calls::call_step&)>;

    claim_table(calls::call_coordinator::hooks hooks, step_hook on_step);

    /// Applies entries of the stream `claims`, then passes the resulting steps to `on_step`.
    void apply(std::span<const ledger::stream_entry> entries, support::time_point now);
    /// Passes the steps that are due at `now`, such as timeouts, to `on_step`.
    void tick(support::time_point now);
    /// Loads a saved state, unless it is malformed or not newer than the current one.
    void restore(const support::json& state);
    void set_session(ledger::session_id own);

    [[nodiscard]] std::uint64_t next_offset() const;
    /// Returns false while the fold waits for a snapshot that covers entries it has missed.
    [[nodiscard]] bool complete() const;
    [[nodiscard]] support::json state() const;
    /// Returns true if the key's call has run, may be running, or may still be dispatched by this
    /// node.
    [[nodiscard]] bool may_have_run(std::string_view key) const;

    [[nodiscard]] std::size_t orphaned_claims() const;
    [[nodiscard]] std::size_t open_calls() const;
    /// Returns the number of idempotency keys in the table.
    [[nodiscard]] std::size_t keys() const;

    /// Begins a call; see `call_coordinator::begin`.
    calls::call_step begin(call_number call, std::string_view key, std::string_view digest,
                           support::time_point now, support::time_point append_deadline,
                           support::time_point deadline);

    /// Applies an event to the coordinator under the table's lock and returns the resulting step.
    template <class Event> calls::call_step on_event(Event event) {
        const std::lock_guard lock(mutex_);
        return event(coordinator_);
    }

private:
    using steps = std::vector<std::pair<call_number, calls::call_step>>;
    void deliver(const steps& due) const;

    mutable std::mutex mutex_; ///< Third in the lock order.
    ledger::claim_fold fold_;
    calls::call_coordinator coordinator_;
    step_hook on_step_;
};

} // namespace dragonflystair::node
