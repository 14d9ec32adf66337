#include "member_table.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace dragonflystair::node {

member_table::member_table(std::string incarnation, membership::lease_timing timing)
    : incarnation_(std::move(incarnation)), timing_(timing), lease_(timing), watch_(timing),
      promises_(timing.lease) {}

void member_table::apply(std::span<const ledger::stream_entry> entries, support::time_point now) {
    const std::lock_guard lock(mutex_);
    for (const auto& entry : entries) {
        fold_.apply(entry);
    }
    watch_.observe(fold_, now);
}

void member_table::restore(const support::json& state) {
    const std::lock_guard lock(mutex_);
    fold_.restore(state);
}

void member_table::on_log_unreachable() {
    const std::lock_guard lock(mutex_);
    watch_.on_log_unreachable();
}

std::uint64_t member_table::next_offset() const {
    const std::lock_guard lock(mutex_);
    return fold_.next_offset();
}

bool member_table::complete() const {
    const std::lock_guard lock(mutex_);
    return !fold_.waits_for_snapshot();
}

support::json member_table::state() const {
    const std::lock_guard lock(mutex_);
    return fold_.state();
}

std::optional<ledger::session_id> member_table::own_session() const {
    const std::lock_guard lock(mutex_);
    return fold_.session_of(incarnation_);
}

bool member_table::has_valid_lease(support::time_point now) const {
    const std::lock_guard lock(mutex_);
    return fold_.session_of(incarnation_).has_value() && lease_.is_valid(now);
}

std::optional<ledger::position> member_table::fence_if_held(std::string_view endpoint,
                                                            support::time_point now) const {
    const std::lock_guard lock(mutex_);
    const auto own = fold_.session_of(incarnation_);
    const auto holder = fold_.holder_of(endpoint);
    if (!own || !holder || holder->session != *own || !lease_.is_valid(now)) {
        return std::nullopt;
    }
    return holder->fence;
}

bool member_table::may_dispatch(support::time_point now) const {
    const std::lock_guard lock(mutex_);
    if (!fold_.session_of(incarnation_)) {
        return false;
    }
    if (lease_.is_valid(now)) {
        return true;
    }
    std::vector<std::string> others;
    for (const auto& [id, state] : fold_.sessions()) {
        if (state.open.incarnation != incarnation_) {
            others.push_back(state.open.incarnation);
        }
    }
    return promises_.all_promised(others, now);
}

void member_table::on_promise(std::string_view peer, bool promises, support::time_point echo) {
    const std::lock_guard lock(mutex_);
    promises_.on_heartbeat(peer, promises, echo);
}

std::optional<owner_info> member_table::owner_of(std::string_view endpoint) const {
    const std::lock_guard lock(mutex_);
    const auto holder = fold_.holder_of(endpoint);
    if (!holder) {
        return std::nullopt;
    }
    return owner_info{*holder, fold_.sessions().at(holder->session).open};
}

std::vector<live_session> member_table::sessions() const {
    const std::lock_guard lock(mutex_);
    std::vector<live_session> result;
    for (const auto& [id, state] : fold_.sessions()) {
        result.push_back({id, state.open});
    }
    return result;
}

bool member_table::session_may_be_live(ledger::session_id session) const {
    const std::lock_guard lock(mutex_);
    return fold_.may_be_live(session);
}

std::vector<std::string> member_table::held_by_self() const {
    const std::lock_guard lock(mutex_);
    const auto own = fold_.session_of(incarnation_);
    return own ? fold_.endpoints_held_by(*own) : std::vector<std::string>{};
}

std::vector<ledger::unresolved_intent> member_table::intents_on(std::string_view endpoint) const {
    const std::lock_guard lock(mutex_);
    return fold_.intents_on(endpoint, fold_.session_of(incarnation_).value_or(0));
}

std::vector<std::string>
member_table::adapters_with_foreign_intents(std::string_view endpoint) const {
    std::set<std::string> adapters;
    for (const auto& intent : intents_on(endpoint)) {
        adapters.insert(intent.adapter);
    }
    return {adapters.begin(), adapters.end()};
}

ledger::session_id member_table::successor_for(const membership::ownable_resource& endpoint) const {
    const std::lock_guard lock(mutex_);
    const auto own = fold_.session_of(incarnation_).value_or(0);
    for (const auto session : membership::grant_planner::preference(fold_, endpoint)) {
        if (session != own) {
            return session;
        }
    }
    return 0;
}

bool member_table::renewal_due(support::time_point now) const {
    const std::lock_guard lock(mutex_);
    return lease_.renewal_due(now);
}

void member_table::on_renewal_sending(support::time_point now) {
    const std::lock_guard lock(mutex_);
    lease_.on_sending(now);
}

void member_table::on_renewal_read_back() {
    const std::lock_guard lock(mutex_);
    // A renewal that is read back after the session has expired does not extend the lease.
    if (const auto own = fold_.session_of(incarnation_)) {
        lease_.on_renewals_confirmed(fold_.sessions().at(*own).renewals);
    }
}

void member_table::begin_new_lease() {
    const std::lock_guard lock(mutex_);
    lease_ = membership::lease_keeper(timing_);
}

std::vector<ledger::session_expire>
member_table::sessions_to_expire(support::time_point now) const {
    const std::lock_guard lock(mutex_);
    const auto all = watch_.overdue(now);
    std::vector<std::string> writers;
    for (const auto& [id, state] : fold_.sessions()) {
        const auto is_overdue = [&](const auto& expiry) { return expiry.session == id; };
        if (std::ranges::none_of(all, is_overdue)) {
            writers.push_back(state.open.incarnation);
        }
    }
    std::vector<ledger::session_expire> due;
    for (const auto& expiry : all) {
        const auto order = support::rendezvous_order(std::to_string(expiry.session), writers);
        const auto rank = std::ranges::find(order, incarnation_) - order.begin();
        const auto overdue_at_rank = watch_.overdue(now - rank * expiry_stagger);
        if (std::ranges::find(overdue_at_rank, expiry) != overdue_at_rank.end()) {
            due.push_back(expiry);
        }
    }
    return due;
}

std::vector<ledger::grant>
member_table::plan_grants(std::span<const membership::ownable_resource> endpoints,
                          support::time_point now) {
    const std::lock_guard lock(mutex_);
    const auto own = fold_.session_of(incarnation_);
    if (!own || !lease_.is_valid(now)) {
        return {};
    }
    return planner_.plan(fold_, endpoints, *own, now);
}

} // namespace dragonflystair::node
