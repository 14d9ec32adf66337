#include "dragonflystair/net/json_text.h"

namespace dragonflystair::net {

using support::json;

namespace {

/// Returns whether brackets outside of strings nest deeper than the limit. The text need not be
/// JSON.
bool exceeds_max_depth(std::string_view text) {
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
            continue;
        }
        in_string = c == '"';
        if (c == '[' || c == '{') {
            ++depth;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
        if (depth > max_json_depth) {
            return true;
        }
    }
    return false;
}

} // namespace

json parse_json(std::string_view text) {
    if (exceeds_max_depth(text)) {
        return json(json::value_t::discarded);
    }
    return json::parse(text, nullptr, false);
}

std::optional<std::string> serialize_json(const json& value) {
    try {
        return value.dump();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool is_utf8(std::string_view text) {
    return serialize_json(json(std::string(text))).has_value();
}

} // namespace dragonflystair::net
