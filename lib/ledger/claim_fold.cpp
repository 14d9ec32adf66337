#include "dragonflystair/ledger/claim_fold.h"

#include <array>
#include <cstddef>

namespace dragonflystair::ledger {

namespace {

using support::json;

constexpr std::array<const char*, 3> status_names{"claimed", "completed", "not_run"};

/// Throws `json::exception` on an unknown name.
key_status decode_status(const json& value) {
    static const json numbers{{status_names[0], 0}, {status_names[1], 1}, {status_names[2], 2}};
    return static_cast<key_status>(numbers.at(value.get<std::string>()).get<int>());
}

json encode(const key_state& state) {
    return {{"status", status_names.at(static_cast<std::size_t>(state.status))},
            {"digest", state.digest},
            {"session", state.session},
            {"attempt", state.attempt},
            {"claim", state.claim},
            {"last", state.last},
            {"outcome", state.outcome ? to_json(*state.outcome) : json(nullptr)}};
}

/// Throws `json::exception` on malformed input.
key_state decode(const json& value) {
    key_state state;
    state.status = decode_status(value.at("status"));
    value.at("digest").get_to(state.digest);
    value.at("session").get_to(state.session);
    value.at("attempt").get_to(state.attempt);
    value.at("claim").get_to(state.claim);
    value.at("last").get_to(state.last);
    if (value.at("outcome").is_null()) {
        return state;
    }
    state.outcome = support::value_or_handle(
        [&]() -> support::result<std::optional<key_outcome>> {
            BOOST_LEAF_AUTO(entry, record_from_json(value.at("outcome")));
            const auto* outcome = std::get_if<key_outcome>(&entry);
            return outcome ? std::optional{*outcome} : std::nullopt;
        },
        [](const support::error&) { return std::optional<key_outcome>{}; });
    return state;
}

} // namespace

const key_state* claim_fold::find(std::string_view key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &found->second;
}

std::uint64_t claim_fold::last_attempt(session_id session) const {
    const auto found = attempts_.find(session);
    return found == attempts_.end() ? 0 : found->second.attempt;
}

void claim_fold::apply_record(position at, const record& content) {
    if (const auto* claim = std::get_if<key_claim>(&content)) {
        on_claim(at, *claim);
        return;
    }
    if (const auto* outcome = std::get_if<key_outcome>(&content)) {
        on_outcome(at, *outcome);
        return;
    }
    if (const auto* abandon = std::get_if<key_abandon>(&content)) {
        on_abandon(at, *abandon);
    }
}

void claim_fold::on_claim(position at, const key_claim& claim) {
    auto& last = attempts_[claim.session];
    if (claim.attempt > last.attempt) {
        last = {claim.attempt, at};
    }
    auto& state = keys_[claim.key];
    if (state.claim != 0 && state.status != key_status::not_run) {
        return;
    }
    state = {key_status::claimed, claim.digest, claim.session, claim.attempt, at, at, {}};
}

void claim_fold::on_outcome(position at, const key_outcome& outcome) {
    const auto found = keys_.find(outcome.key);
    if (found == keys_.end() || found->second.status != key_status::claimed ||
        found->second.claim != outcome.claim) {
        return;
    }
    found->second.status = key_status::completed;
    found->second.outcome = outcome;
    found->second.last = at;
}

void claim_fold::on_abandon(position at, const key_abandon& abandon) {
    const auto found = keys_.find(abandon.key);
    if (found == keys_.end() || found->second.status != key_status::claimed ||
        found->second.claim != abandon.claim) {
        return;
    }
    found->second.status = key_status::not_run;
    found->second.last = at;
}

void claim_fold::discard_before(std::uint64_t offset) {
    const auto first_kept = make_position(offset, 0);
    std::erase_if(keys_, [&](const auto& entry) { return entry.second.last < first_kept; });
    std::erase_if(attempts_, [&](const auto& entry) { return entry.second.at < first_kept; });
}

support::json claim_fold::body() const {
    auto keys = json::object();
    for (const auto& [key, state] : keys_) {
        keys[key] = encode(state);
    }
    auto attempts = json::array();
    for (const auto& [session, last] : attempts_) {
        attempts.push_back({session, last.attempt, last.at});
    }
    return {{"keys", std::move(keys)}, {"attempts", std::move(attempts)}};
}

void claim_fold::load_body(const support::json& value) {
    std::map<std::string, key_state, std::less<>> keys;
    for (const auto& [key, state] : value.at("keys").items()) {
        keys[key] = decode(state);
    }
    std::map<session_id, last_claim> attempts;
    for (const auto& entry : value.at("attempts")) {
        attempts[entry.at(0).get<session_id>()] = {entry.at(1).get<std::uint64_t>(),
                                                   entry.at(2).get<position>()};
    }
    keys_ = std::move(keys);
    attempts_ = std::move(attempts);
}

} // namespace dragonflystair::ledger
