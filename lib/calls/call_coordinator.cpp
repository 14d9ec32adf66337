#include "dragonflystair/calls/call_coordinator.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>

namespace dragonflystair::calls {

namespace {

using ledger::claim_fold;
using ledger::key_status;
using ledger::position;
using support::time_point;

enum class call_state {
    waiting_for_claim,   ///< The claim of this call is pending, or was read back while the lease is
                         ///< not held.
    dispatched,          ///< The request may have been written to an endpoint.
    waiting_for_outcome, ///< Another call has claimed the key.
    unanswered,          ///< Answered `unknown`; a status lookup can still complete the claim.
};

struct call_entry {
    std::string key;
    std::string digest;
    call_state state = call_state::waiting_for_outcome;
    std::uint64_t attempt = 0; ///< Number of this call's pending claim; 0 if none.
    position claim = 0; ///< Position of this call's claim once it has won, or of the winning claim
                        ///< if the call was answered `unknown`.
    ledger::session_id session = 0; ///< Session for which this call's claim was made.
    time_point append_deadline;
    time_point deadline;
    support::duration append_budget{};
};

/// A claim that has not been read back from the log.
struct claim_attempt {
    std::string key;
    ledger::session_id session = 0;
    call_coordinator::call_number call = 0; ///< 0 if no call waits for it any more.
};

call_step answer(call_outcome outcome, std::string reason) {
    return {false, call_answer{outcome, std::move(reason), std::nullopt}};
}

call_step completed(ledger::key_outcome result) {
    return {false, call_answer{call_outcome::completed, {}, std::move(result)}};
}

/// Keys and content types must be printable ASCII, since they are written to records, and records
/// are JSON, which can only contain valid UTF-8.
bool is_printable(std::string_view text) {
    return std::ranges::all_of(text,
                               [](char character) { return character >= ' ' && character <= '~'; });
}

bool is_valid_key(std::string_view key) {
    return !key.empty() && key.size() <= call_coordinator::max_key_bytes && is_printable(key);
}

} // namespace

struct call_coordinator::impl {
    ledger::session_id own_session;
    hooks node;
    std::uint64_t last_attempt = 0;
    std::map<call_number, call_entry> calls;
    std::map<std::uint64_t, claim_attempt> attempts;
    /// Claims of this node that were dispatched but not answered.
    std::set<position> unanswered_claims;
    /// Claims whose abandon records are not read back yet, with their keys.
    std::map<position, std::string> abandoned_claims;

    void claim(call_number number, call_entry& call, time_point now);
    void orphan_attempt(call_entry& call);
    void resolve_attempts(const claim_fold& claims);
    void resolve_attempt(std::uint64_t number, const claim_attempt& attempt,
                         const claim_fold& claims);
    void abandon(const std::string& key, position claim);
    void erase_confirmed_abandons(const claim_fold& claims);
    void expire_unanswered(time_point now);

    call_step advance(call_number number, call_entry& call, const claim_fold& claims,
                      time_point now);
    call_step advance_pending_claim(call_entry& call, const claim_fold& claims, time_point now);
    call_step advance_won_claim(call_entry& call, time_point now);
    call_step advance_without_claim(call_number number, call_entry& call, const claim_fold& claims,
                                    time_point now);
    call_step advance_by_winner(call_entry& call, const ledger::key_state& winner, time_point now);
    std::vector<std::pair<call_number, call_step>> advance_all(const claim_fold& claims,
                                                               time_point now);

    call_entry* find_in_state(call_number number, call_state state);
    call_step complete(call_number number, ledger::key_outcome result);
    call_step finish(call_number number, call_step step);
};

call_coordinator::call_coordinator(ledger::session_id own_session, hooks node)
    : impl_(std::make_unique<impl>()) {
    impl_->own_session = own_session;
    impl_->node = std::move(node);
}

call_coordinator::~call_coordinator() = default;

void call_coordinator::set_session(ledger::session_id own_session) {
    impl_->own_session = own_session;
}

void call_coordinator::impl::claim(call_number number, call_entry& call, time_point now) {
    call.state = call_state::waiting_for_claim;
    call.claim = 0;
    call.session = own_session;
    call.attempt = ++last_attempt;
    call.append_deadline = std::min(now + call.append_budget, call.deadline);
    attempts[call.attempt] = {call.key, own_session, number};
    node.append(ledger::key_claim{call.key, call.digest, own_session, call.attempt});
}

void call_coordinator::impl::orphan_attempt(call_entry& call) {
    if (const auto attempt = attempts.find(call.attempt); attempt != attempts.end()) {
        attempt->second.call = 0;
    }
    call.attempt = 0;
}

void call_coordinator::impl::abandon(const std::string& key, position claim) {
    abandoned_claims[claim] = key;
    node.append(ledger::key_abandon{key, claim});
}

void call_coordinator::impl::resolve_attempts(const claim_fold& claims) {
    if (claims.waits_for_snapshot()) {
        return;
    }
    for (auto attempt = attempts.begin(); attempt != attempts.end();) {
        if (claims.last_attempt(attempt->second.session) < attempt->first) {
            ++attempt;
            continue;
        }
        resolve_attempt(attempt->first, attempt->second, claims);
        attempt = attempts.erase(attempt);
    }
}

void call_coordinator::impl::resolve_attempt(std::uint64_t number, const claim_attempt& attempt,
                                             const claim_fold& claims) {
    const auto* state = claims.find(attempt.key);
    const bool won = state != nullptr && state->status == key_status::claimed &&
                     state->session == attempt.session && state->attempt == number;
    const auto call = calls.find(attempt.call);
    if (attempt.call == 0 || call == calls.end()) {
        if (won) {
            abandon(attempt.key, state->claim);
        }
        return;
    }
    call->second.attempt = 0;
    if (!won) {
        call->second.state = call_state::waiting_for_outcome;
        return;
    }
    call->second.claim = state->claim;
}

call_step call_coordinator::impl::advance(call_number number, call_entry& call,
                                          const claim_fold& claims, time_point now) {
    switch (call.state) {
    case call_state::waiting_for_claim:
        return call.claim != 0 ? advance_won_claim(call, now)
                               : advance_pending_claim(call, claims, now);
    case call_state::waiting_for_outcome:
        return advance_without_claim(number, call, claims, now);
    case call_state::dispatched:
    case call_state::unanswered:
        break;
    }
    return {};
}

call_step call_coordinator::impl::advance_won_claim(call_entry& call, time_point now) {
    const bool session_valid = call.session == own_session && node.session_may_be_live(own_session);
    if (session_valid && now < call.append_deadline) {
        if (!node.lease_is_held()) {
            return {};
        }
        call.state = call_state::dispatched;
        return {true, std::nullopt};
    }
    abandon(call.key, call.claim);
    return answer(call_outcome::not_run, session_valid ? "claim_too_late" : "session_lost");
}

call_step call_coordinator::impl::advance_pending_claim(call_entry& call, const claim_fold& claims,
                                                        time_point now) {
    const auto* state = claims.find(call.key);
    const bool key_in_use = state != nullptr && state->status != key_status::not_run;
    if (key_in_use && (state->status == key_status::completed || now >= call.append_deadline)) {
        orphan_attempt(call);
        call.state = call_state::waiting_for_outcome;
        return advance_by_winner(call, *state, now);
    }
    if (now < call.append_deadline) {
        return {};
    }
    orphan_attempt(call);
    return answer(call_outcome::not_run, "claim_not_read_back");
}

call_step call_coordinator::impl::advance_without_claim(call_number number, call_entry& call,
                                                        const claim_fold& claims, time_point now) {
    const auto* state = claims.find(call.key);
    if (state != nullptr && state->status != key_status::not_run) {
        return advance_by_winner(call, *state, now);
    }
    if (claims.waits_for_snapshot()) {
        return answer(call_outcome::not_run, "log_not_read");
    }
    if (!node.lease_is_held() || !node.session_may_be_live(own_session)) {
        return answer(call_outcome::not_run, "lease_not_held");
    }
    if (now >= call.deadline) {
        return answer(call_outcome::not_run, "deadline");
    }
    claim(number, call, now);
    return {};
}

call_step call_coordinator::impl::advance_by_winner(call_entry& call,
                                                    const ledger::key_state& winner,
                                                    time_point now) {
    if (winner.digest != call.digest) {
        return answer(call_outcome::unknown, "key_conflict");
    }
    if (winner.status == key_status::completed) {
        return completed(winner.outcome.value_or(ledger::key_outcome{}));
    }
    std::string reason;
    if (unanswered_claims.contains(winner.claim)) {
        reason = "no_answer";
    } else if (!abandoned_claims.contains(winner.claim) &&
               !node.session_may_be_live(winner.session)) {
        reason = "claimant_lost";
    } else if (now >= call.deadline) {
        reason = "deadline";
    }
    if (reason.empty()) {
        return {};
    }
    call.claim = winner.claim;
    call.state = call_state::unanswered;
    return answer(call_outcome::unknown, std::move(reason));
}

std::vector<std::pair<call_coordinator::call_number, call_step>>
call_coordinator::impl::advance_all(const claim_fold& claims, time_point now) {
    resolve_attempts(claims);
    erase_confirmed_abandons(claims);
    std::vector<std::pair<call_number, call_step>> steps;
    for (auto& [number, call] : calls) {
        auto step = advance(number, call, claims, now);
        if (step.dispatch || step.answer) {
            steps.emplace_back(number, std::move(step));
        }
    }
    for (auto& [number, step] : steps) {
        step = finish(number, std::move(step));
    }
    expire_unanswered(now);
    return steps;
}

void call_coordinator::impl::erase_confirmed_abandons(const claim_fold& claims) {
    std::erase_if(abandoned_claims, [&](const auto& item) {
        const auto* state = claims.find(item.second);
        return state == nullptr || state->status != key_status::claimed ||
               state->claim != item.first;
    });
}

void call_coordinator::impl::expire_unanswered(time_point now) {
    std::erase_if(calls, [&](const auto& item) {
        const auto& call = item.second;
        const bool expired =
            call.state == call_state::unanswered && now >= call.deadline + lookup_window;
        if (expired) {
            unanswered_claims.erase(call.claim);
        }
        return expired;
    });
}

call_step call_coordinator::impl::finish(call_number number, call_step step) {
    const auto call = calls.find(number);
    if (step.answer && call != calls.end() && call->second.state != call_state::unanswered) {
        calls.erase(call);
    }
    return step;
}

call_entry* call_coordinator::impl::find_in_state(call_number number, call_state state) {
    const auto call = calls.find(number);
    return call != calls.end() && call->second.state == state ? &call->second : nullptr;
}

call_step call_coordinator::impl::complete(call_number number, ledger::key_outcome result) {
    const auto call = calls.find(number);
    result.key = call->second.key;
    result.claim = call->second.claim;
    auto stored = result;
    if (stored.body.size() > max_body_bytes) {
        stored.body.clear();
        stored.body_dropped = true;
    }
    if (!is_printable(stored.content_type)) {
        stored.content_type.clear();
    }
    node.append(std::move(stored));
    unanswered_claims.erase(result.claim);
    calls.erase(call);
    return completed(std::move(result));
}

call_step call_coordinator::begin(call_number call, std::string_view key, std::string_view digest,
                                  const ledger::claim_fold& claims, support::time_point now,
                                  support::time_point append_deadline,
                                  support::time_point deadline) {
    assert(call != 0 && !impl_->calls.contains(call) && "the call number is in use");
    if (!is_valid_key(key)) {
        return answer(call_outcome::not_run, "bad_key");
    }
    call_entry entry;
    entry.key = key;
    entry.digest = digest;
    entry.deadline = deadline;
    entry.append_budget = append_deadline - now;
    auto& stored = impl_->calls[call] = std::move(entry);
    return impl_->finish(call, impl_->advance(call, stored, claims, now));
}

std::vector<std::pair<call_coordinator::call_number, call_step>>
call_coordinator::on_folded(const ledger::claim_fold& claims, support::time_point now) {
    return impl_->advance_all(claims, now);
}

std::vector<std::pair<call_coordinator::call_number, call_step>>
call_coordinator::on_tick(const ledger::claim_fold& claims, support::time_point now) {
    return impl_->advance_all(claims, now);
}

call_step call_coordinator::on_refused(call_number call) {
    const auto* entry = impl_->find_in_state(call, call_state::dispatched);
    if (entry == nullptr) {
        return {};
    }
    impl_->abandon(entry->key, entry->claim);
    return impl_->finish(call, answer(call_outcome::not_run, "endpoint_refused"));
}

call_step call_coordinator::on_answer(call_number call, int status, std::string_view content_type,
                                      std::string_view body) {
    if (impl_->find_in_state(call, call_state::dispatched) == nullptr) {
        return {};
    }
    return impl_->complete(call,
                           {{}, 0, status, std::string(content_type), std::string(body), false});
}

call_step call_coordinator::on_no_answer(call_number call) {
    auto* entry = impl_->find_in_state(call, call_state::dispatched);
    if (entry == nullptr) {
        return {};
    }
    entry->state = call_state::unanswered;
    impl_->unanswered_claims.insert(entry->claim);
    return answer(call_outcome::unknown, "no_answer");
}

call_step call_coordinator::on_lookup_found(call_number call, int status,
                                            std::string_view content_type, std::string_view body) {
    if (impl_->find_in_state(call, call_state::unanswered) == nullptr) {
        return {};
    }
    return impl_->complete(call,
                           {{}, 0, status, std::string(content_type), std::string(body), false});
}

std::size_t call_coordinator::open_calls() const {
    return static_cast<std::size_t>(std::ranges::count_if(impl_->calls, [](const auto& item) {
        return item.second.state != call_state::unanswered;
    }));
}

std::size_t call_coordinator::orphaned_claims() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        impl_->attempts, [](const auto& item) { return item.second.call == 0; }));
}

bool call_coordinator::has_pending_claim(std::string_view key) const {
    return std::ranges::any_of(impl_->attempts, [&](const auto& item) {
        return item.second.key == key && item.second.call != 0;
    });
}

} // namespace dragonflystair::calls
