#include "dragonflystair/ledger/records.h"

#include "dragonflystair/support/base64.h"

#include "json_fields.h"

#include <functional>
#include <map>
#include <string_view>
#include <type_traits>

namespace dragonflystair::ledger {

namespace {

using support::json;

json encode(const config_change& content) {
    json sections = json::object();
    for (const auto& [name, values] : content.sections) {
        sections[name] = values ? json(*values) : json(nullptr);
    }
    return {{"type", "config_change"},
            {"base", content.base},
            {"sections", std::move(sections)},
            {"author", content.author}};
}

json encode(const session_open& content) {
    return {{"type", "session_open"},
            {"node", content.node},
            {"incarnation", content.incarnation},
            {"region", content.region},
            {"data_centre", content.data_centre},
            {"caller_address", content.caller_address},
            {"peer_address", content.peer_address}};
}

json encode(const session_renew& content) {
    return {{"type", "session_renew"}, {"sessions", content.sessions}};
}

json encode(const session_expire& content) {
    return {{"type", "session_expire"},
            {"session", content.session},
            {"seen_renewal", content.seen_renewal}};
}

json encode(const session_close& content) {
    return {{"type", "session_close"}, {"session", content.session}};
}

json encode(const grant& content) {
    return {{"type", "grant"}, {"endpoint", content.endpoint}, {"session", content.session}};
}

json encode(const release& content) {
    return {{"type", "release"},
            {"endpoint", content.endpoint},
            {"session", content.session},
            {"successor", content.successor}};
}

json encode(const eviction_intent& content) {
    return {{"type", "eviction_intent"},
            {"endpoint", content.endpoint},
            {"session", content.session},
            {"adapter", content.adapter}};
}

json encode(const eviction_done& content) {
    return {{"type", "eviction_done"},
            {"endpoint", content.endpoint},
            {"session", content.session},
            {"adapter", content.adapter}};
}

json encode(const key_claim& content) {
    return {{"type", "key_claim"},
            {"key", content.key},
            {"digest", content.digest},
            {"session", content.session},
            {"attempt", content.attempt}};
}

/// Returns whether the text is valid UTF-8 and so can be part of a JSON message.
bool is_utf8(const std::string& text) {
    try {
        (void)json(text).dump();
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

json encode(const key_outcome& content) {
    json value{{"type", "key_outcome"},
               {"key", content.key},
               {"claim", content.claim},
               {"status", content.status},
               {"content_type", content.content_type},
               {"body_dropped", content.body_dropped}};
    if (is_utf8(content.body)) {
        value["body"] = content.body;
    } else {
        value["body_base64"] = support::to_base64(content.body);
    }
    return value;
}

json encode(const key_abandon& content) {
    return {{"type", "key_abandon"}, {"key", content.key}, {"claim", content.claim}};
}

json encode(const snapshot& content) {
    return {{"type", "snapshot"}, {"state", content.state}, {"keep_from", content.keep_from}};
}

bool decode(const json& value, config_change& target) {
    const auto sections = value.find("sections");
    if (sections == value.end() || !sections->is_object()) {
        return false;
    }
    for (const auto& [name, values] : sections->items()) {
        auto& section_target = target.sections[name];
        if (values.is_null()) {
            continue;
        }
        if (!values.is_object()) {
            return false;
        }
        section_target.emplace();
        for (const auto& [key, text] : values.items()) {
            if (!read(text, (*section_target)[key])) {
                return false;
            }
        }
    }
    return read_member(value, "base", target.base) && read_member(value, "author", target.author);
}

bool decode(const json& value, session_open& target) {
    return read_member(value, "node", target.node) &&
           read_member(value, "incarnation", target.incarnation) &&
           read_member(value, "region", target.region) &&
           read_member(value, "data_centre", target.data_centre) &&
           read_member(value, "caller_address", target.caller_address) &&
           read_member(value, "peer_address", target.peer_address);
}

bool decode(const json& value, session_renew& target) {
    return read_member(value, "sessions", target.sessions);
}

bool decode(const json& value, session_expire& target) {
    return read_member(value, "session", target.session) &&
           read_member(value, "seen_renewal", target.seen_renewal);
}

bool decode(const json& value, session_close& target) {
    return read_member(value, "session", target.session);
}

bool decode(const json& value, grant& target) {
    return read_member(value, "endpoint", target.endpoint) &&
           read_member(value, "session", target.session);
}

bool decode(const json& value, release& target) {
    return read_member(value, "endpoint", target.endpoint) &&
           read_member(value, "session", target.session) &&
           read_member(value, "successor", target.successor);
}

bool decode(const json& value, eviction_intent& target) {
    return read_member(value, "endpoint", target.endpoint) &&
           read_member(value, "session", target.session) &&
           read_member(value, "adapter", target.adapter);
}

bool decode(const json& value, eviction_done& target) {
    return read_member(value, "endpoint", target.endpoint) &&
           read_member(value, "session", target.session) &&
           read_member(value, "adapter", target.adapter);
}

bool decode(const json& value, key_claim& target) {
    return read_member(value, "key", target.key) && read_member(value, "digest", target.digest) &&
           read_member(value, "session", target.session) &&
           read_member(value, "attempt", target.attempt);
}

bool decode_body(const json& value, std::string& target) {
    if (value.contains("body")) {
        return read_member(value, "body", target);
    }
    std::string encoded;
    if (!read_member(value, "body_base64", encoded)) {
        return false;
    }
    auto decoded = support::from_base64(encoded);
    if (!decoded) {
        return false;
    }
    target = std::move(*decoded);
    return true;
}

bool decode(const json& value, key_outcome& target) {
    return read_member(value, "key", target.key) && read_member(value, "claim", target.claim) &&
           read_member(value, "status", target.status) &&
           read_member(value, "content_type", target.content_type) &&
           read_member(value, "body_dropped", target.body_dropped) &&
           decode_body(value, target.body);
}

bool decode(const json& value, key_abandon& target) {
    return read_member(value, "key", target.key) && read_member(value, "claim", target.claim);
}

bool decode(const json& value, snapshot& target) {
    const auto state = value.find("state");
    if (state == value.end() || !state->is_object()) {
        return false;
    }
    target.state = *state;
    return read_member(value, "keep_from", target.keep_from);
}

template <class Record> support::result<record> decoded(const json& value) {
    Record content;
    if (!decode(value, content)) {
        return support::fail(support::error_kind::malformed, "malformed log record");
    }
    return record{std::move(content)};
}

using decoder = support::result<record> (*)(const json&);

const std::map<std::string, decoder, std::less<>>& decoders() {
    static const std::map<std::string, decoder, std::less<>> table{
        {"config_change", decoded<config_change>},
        {"session_open", decoded<session_open>},
        {"session_renew", decoded<session_renew>},
        {"session_expire", decoded<session_expire>},
        {"session_close", decoded<session_close>},
        {"grant", decoded<grant>},
        {"release", decoded<release>},
        {"eviction_intent", decoded<eviction_intent>},
        {"eviction_done", decoded<eviction_done>},
        {"key_claim", decoded<key_claim>},
        {"key_outcome", decoded<key_outcome>},
        {"key_abandon", decoded<key_abandon>},
        {"snapshot", decoded<snapshot>},
    };
    return table;
}

} // namespace

support::json to_json(const record& content) {
    return std::visit([](const auto& body) { return encode(body); }, content);
}

support::result<record> record_from_json(const support::json& value) {
    std::string type;
    if (!value.is_object() || !read_member(value, "type", type)) {
        return support::fail(support::error_kind::malformed, "log record without type");
    }
    const auto found = decoders().find(type);
    if (found == decoders().end()) {
        return support::fail(support::error_kind::malformed, "unknown log record type");
    }
    return found->second(value);
}

} // namespace dragonflystair::ledger
