#include "dragonflystair/ledger/member_fold.h"

#include <algorithm>

namespace dragonflystair::ledger {

namespace {

using support::json;

json encode(session_id id, const session_state& state) {
    return {{"id", id},
            {"open", to_json(state.open)},
            {"last_renewal", state.last_renewal},
            {"renewals", state.renewals}};
}

/// Throws `json::exception` on malformed input.
session_state decode_session(const json& value) {
    session_state state;
    const auto& open = value.at("open");
    open.at("node").get_to(state.open.node);
    open.at("incarnation").get_to(state.open.incarnation);
    open.at("region").get_to(state.open.region);
    open.at("data_centre").get_to(state.open.data_centre);
    open.at("caller_address").get_to(state.open.caller_address);
    open.at("peer_address").get_to(state.open.peer_address);
    value.at("last_renewal").get_to(state.last_renewal);
    value.at("renewals").get_to(state.renewals);
    return state;
}

} // namespace

std::optional<session_id> member_fold::session_of(std::string_view incarnation) const {
    const auto found = std::ranges::find_if(
        sessions_, [&](const auto& entry) { return entry.second.open.incarnation == incarnation; });
    return found == sessions_.end() ? std::nullopt : std::optional{found->first};
}

std::optional<holder> member_fold::holder_of(std::string_view endpoint) const {
    const auto found = grants_.find(endpoint);
    if (found == grants_.end() || found->second.released || !live(found->second.current.session)) {
        return std::nullopt;
    }
    return found->second.current;
}

std::optional<holder> member_fold::last_grant_of(std::string_view endpoint) const {
    const auto found = grants_.find(endpoint);
    return found == grants_.end() ? std::nullopt : std::optional{found->second.current};
}

session_id member_fold::successor_of(std::string_view endpoint) const {
    const auto found = grants_.find(endpoint);
    return found == grants_.end() ? 0 : found->second.successor;
}

std::vector<std::string> member_fold::endpoints_held_by(session_id session) const {
    std::vector<std::string> endpoints;
    for (const auto& [endpoint, state] : grants_) {
        if (is_live_holder(endpoint, session)) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

std::vector<unresolved_intent> member_fold::intents_on(std::string_view endpoint,
                                                       session_id except) const {
    std::vector<unresolved_intent> open;
    const auto found = intents_.find(endpoint);
    if (found == intents_.end()) {
        return open;
    }
    std::ranges::copy_if(found->second, std::back_inserter(open),
                         [&](const auto& entry) { return entry.session != except; });
    return open;
}

bool member_fold::is_live_holder(std::string_view endpoint, session_id session) const {
    const auto current = holder_of(endpoint);
    return current && current->session == session;
}

void member_fold::apply_record(position at, const record& content) {
    struct visitor {
        member_fold& fold;
        position at;
        void operator()(const session_open& body) const { fold.on_open(at, body); }
        void operator()(const session_renew& body) const { fold.on_renew(at, body); }
        void operator()(const session_expire& body) const { fold.on_expire(body); }
        void operator()(const session_close& body) const { fold.end_session(body.session); }
        void operator()(const grant& body) const { fold.on_grant(at, body); }
        void operator()(const release& body) const { fold.on_release(body); }
        void operator()(const eviction_intent& body) const { fold.on_intent(body); }
        void operator()(const eviction_done& body) const { fold.on_done(body); }
        void operator()(const config_change& /*body*/) const {}
        void operator()(const key_claim& /*body*/) const {}
        void operator()(const key_outcome& /*body*/) const {}
        void operator()(const key_abandon& /*body*/) const {}
        void operator()(const snapshot& /*body*/) const {}
    };
    std::visit(visitor{*this, at}, content);
}

void member_fold::on_open(position at, const session_open& opened) {
    if (const auto previous = session_of(opened.incarnation)) {
        end_session(*previous);
    }
    sessions_[at] = {opened, at, 1};
}

void member_fold::on_renew(position at, const session_renew& renewal) {
    for (const auto id : renewal.sessions) {
        const auto found = sessions_.find(id);
        // A session that is listed twice in one record is renewed once.
        if (found == sessions_.end() || found->second.last_renewal == at) {
            continue;
        }
        found->second.last_renewal = at;
        ++found->second.renewals;
    }
}

void member_fold::on_expire(const session_expire& expiry) {
    const auto found = sessions_.find(expiry.session);
    if (found != sessions_.end() && found->second.last_renewal == expiry.seen_renewal) {
        end_session(expiry.session);
    }
}

void member_fold::on_grant(position at, const grant& granted) {
    if (!live(granted.session) || holder_of(granted.endpoint)) {
        return;
    }
    grants_[granted.endpoint] = {{granted.session, at}, 0, false};
}

void member_fold::on_release(const release& released) {
    if (!is_live_holder(released.endpoint, released.session)) {
        return;
    }
    auto& state = grants_[released.endpoint];
    state.released = true;
    state.successor = released.successor;
}

void member_fold::on_intent(const eviction_intent& intent) {
    if (is_live_holder(intent.endpoint, intent.session)) {
        intents_[intent.endpoint].insert({intent.session, intent.adapter});
    }
}

void member_fold::on_done(const eviction_done& done) {
    const auto found = intents_.find(done.endpoint);
    if (found == intents_.end()) {
        return;
    }
    found->second.erase({done.session, done.adapter});
    if (found->second.empty()) {
        intents_.erase(found);
    }
}

void member_fold::end_session(session_id session) {
    sessions_.erase(session);
}

void member_fold::discard_before(std::uint64_t offset) {
    const auto first_kept = make_position(offset, 0);
    std::erase_if(grants_, [&](const auto& entry) {
        const auto& [session, fence] = entry.second.current;
        return fence < first_kept && !live(session) && !intents_.contains(entry.first);
    });
}

support::json member_fold::body() const {
    auto sessions = json::array();
    for (const auto& [id, state] : sessions_) {
        sessions.push_back(encode(id, state));
    }
    auto grants = json::object();
    for (const auto& [endpoint, state] : grants_) {
        grants[endpoint] = {{"session", state.current.session},
                            {"fence", state.current.fence},
                            {"successor", state.successor},
                            {"released", state.released}};
    }
    auto intents = json::array();
    for (const auto& [endpoint, open] : intents_) {
        for (const auto& entry : open) {
            intents.push_back({endpoint, entry.session, entry.adapter});
        }
    }
    return {{"sessions", std::move(sessions)},
            {"grants", std::move(grants)},
            {"intents", std::move(intents)}};
}

void member_fold::load_body(const support::json& value) {
    std::map<session_id, session_state> sessions;
    for (const auto& entry : value.at("sessions")) {
        sessions[entry.at("id").get<session_id>()] = decode_session(entry);
    }
    std::map<std::string, grant_state, std::less<>> grants;
    for (const auto& [endpoint, entry] : value.at("grants").items()) {
        grants[endpoint] = {
            {entry.at("session").get<session_id>(), entry.at("fence").get<position>()},
            entry.at("successor").get<session_id>(),
            entry.at("released").get<bool>()};
    }
    std::map<std::string, std::set<unresolved_intent>, std::less<>> intents;
    for (const auto& entry : value.at("intents")) {
        intents[entry.at(0).get<std::string>()].insert(
            {entry.at(1).get<session_id>(), entry.at(2).get<std::string>()});
    }
    sessions_ = std::move(sessions);
    grants_ = std::move(grants);
    intents_ = std::move(intents);
}

} // namespace dragonflystair::ledger
