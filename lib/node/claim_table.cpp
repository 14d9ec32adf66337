#include "claim_table.h"

namespace dragonflystair::node {

claim_table::claim_table(calls::call_coordinator::hooks hooks, step_hook on_step)
    : coordinator_(0, std::move(hooks)), on_step_(std::move(on_step)) {}

void claim_table::apply(std::span<const ledger::stream_entry> entries, support::time_point now) {
    steps due;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& entry : entries) {
            fold_.apply(entry);
        }
        due = coordinator_.on_folded(fold_, now);
    }
    deliver(due);
}

void claim_table::tick(support::time_point now) {
    steps due;
    {
        const std::lock_guard lock(mutex_);
        due = coordinator_.on_tick(fold_, now);
    }
    deliver(due);
}

void claim_table::deliver(const steps& due) const {
    for (const auto& [call, step] : due) {
        on_step_(call, step);
    }
}

void claim_table::restore(const support::json& state) {
    const std::lock_guard lock(mutex_);
    fold_.restore(state);
}

void claim_table::set_session(ledger::session_id own) {
    const std::lock_guard lock(mutex_);
    coordinator_.set_session(own);
}

std::uint64_t claim_table::next_offset() const {
    const std::lock_guard lock(mutex_);
    return fold_.next_offset();
}

bool claim_table::complete() const {
    const std::lock_guard lock(mutex_);
    return !fold_.waits_for_snapshot();
}

support::json claim_table::state() const {
    const std::lock_guard lock(mutex_);
    return fold_.state();
}

bool claim_table::may_have_run(std::string_view key) const {
    const std::lock_guard lock(mutex_);
    const auto* state = fold_.find(key);
    const bool claimed = state != nullptr && state->status != ledger::key_status::not_run;
    return claimed || coordinator_.has_pending_claim(key);
}

std::size_t claim_table::orphaned_claims() const {
    const std::lock_guard lock(mutex_);
    return coordinator_.orphaned_claims();
}

std::size_t claim_table::open_calls() const {
    const std::lock_guard lock(mutex_);
    return coordinator_.open_calls();
}

std::size_t claim_table::keys() const {
    const std::lock_guard lock(mutex_);
    return fold_.size();
}

calls::call_step claim_table::begin(call_number call, std::string_view key, std::string_view digest,
                                    support::time_point now, support::time_point append_deadline,
                                    support::time_point deadline) {
    const std::lock_guard lock(mutex_);
    return coordinator_.begin(call, key, digest, fold_, now, append_deadline, deadline);
}

} // namespace dragonflystair::node
