#include "dragonflystair/ledger/claim_fold.h"

#include <array>
#include <cstddef>

namespace dragonflystair::ledger {

namespace {

using support::json;

constexpr std::array<const char*, 3> names{"claimed", "completed", "not_run"};

/// Throws `json::exception` on an unknown name.
key_status decode_status(const json& value) {
    static const json numbers{{names[0], 0}, {names[1], 1}, {names[2], 2}};
    return static_cast<key_status>(numbers.at(value.get<std::string>()).get<int>());
}

json encode(const key_state& state) {
    return {{"status", names.at(static_cast<std::size_t>(state.status))},
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
            BOOST_LEAF_AUTO(item, record_from_json(value.at("outcome")));
            const auto* outcome = std::get_if<key_outcome>(&item);
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

void claim_fold::apply_record(position place, const record& item) {
    if (const auto* claim = std::get_if<key_claim>(&item)) {
        on_claim(place, *claim);
        return;
    }
    if (const auto* outcome = std::get_if<key_outcome>(&item)) {
        on_outcome(place, *outcome);
        return;
    }
    if (const auto* abandon = std::get_if<key_abandon>(&item)) {
        on_abandon(place, *abandon);
    }
}

void claim_fold::on_claim(position place, const key_claim& item) {
    auto& seen = attempts_[item.session];
    if (item.attempt > seen.attempt) {
        seen = {item.attempt, place};
    }
    auto& state = keys_[item.key];
    if (state.claim != 0 && state.status != key_status::not_run) {
        return;
    }
    state = {key_status::claimed, item.digest, item.session, item.attempt, place, place, {}};
}

void claim_fold::on_outcome(position place, const key_outcome& item) {
    const auto found = keys_.find(item.key);
    if (found == keys_.end() || found->second.status != key_status::claimed ||
        found->second.claim != item.claim) {
        return;
    }
    found->second.status = key_status::completed;
    found->second.outcome = item;
    found->second.last = place;
}

void claim_fold::on_abandon(position place, const key_abandon& item) {
    const auto found = keys_.find(item.key);
    if (found == keys_.end() || found->second.status != key_status::claimed ||
        found->second.claim != item.claim) {
        return;
    }
    found->second.status = key_status::not_run;
    found->second.last = place;
}

void claim_fold::forget_before(std::uint64_t offset) {
    const auto first_kept = make_position(offset, 0);
    std::erase_if(keys_, [&](const auto& item) { return item.second.last < first_kept; });
    std::erase_if(attempts_, [&](const auto& item) { return item.second.at < first_kept; });
}

support::json claim_fold::body() const {
    auto keys = json::object();
    for (const auto& [key, state] : keys_) {
        keys[key] = encode(state);
    }
    auto attempts = json::array();
    for (const auto& [session, seen] : attempts_) {
        attempts.push_back({session, seen.attempt, seen.at});
    }
    return {{"keys", std::move(keys)}, {"attempts", std::move(attempts)}};
}

void claim_fold::load_body(const support::json& value) {
    std::map<std::string, key_state, std::less<>> keys;
    for (const auto& [key, state] : value.at("keys").items()) {
        keys[key] = decode(state);
    }
    std::map<session_id, attempt_seen> attempts;
    for (const auto& item : value.at("attempts")) {
        attempts[item.at(0).get<session_id>()] = {item.at(1).get<std::uint64_t>(),
                                                  item.at(2).get<position>()};
    }
    keys_ = std::move(keys);
    attempts_ = std::move(attempts);
}

} // namespace dragonflystair::ledger
