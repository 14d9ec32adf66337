#include "json_members.h"

#include <utility>

namespace dragonflystair::net {

using support::json;

namespace {

const json empty_array = json::array();
const json empty_object = json::object();

} // namespace

json_members::json_members(const json& object) : object_(object) {
    if (!object_.is_object()) {
        fault_ = "not an object";
    }
}

std::uint64_t json_members::number(std::string_view name) {
    const auto* const value = find(name);
    if (value == nullptr || !value->is_number_unsigned()) {
        fail(name);
        return 0;
    }
    return value->get<std::uint64_t>();
}

std::string json_members::text(std::string_view name) {
    const auto* const value = find(name);
    if (value == nullptr || !value->is_string()) {
        fail(name);
        return {};
    }
    return value->get_ref<const std::string&>();
}

std::vector<std::string> json_members::texts(std::string_view name) {
    std::vector<std::string> out;
    for (const auto& item : array(name)) {
        if (!item.is_string()) {
            fail(name);
            return {};
        }
        out.push_back(item.get_ref<const std::string&>());
    }
    return out;
}

const json& json_members::array(std::string_view name) {
    const auto* const value = find(name);
    if (value == nullptr || !value->is_array()) {
        fail(name);
        return empty_array;
    }
    return *value;
}

const json& json_members::object(std::string_view name) {
    const auto* const value = find(name);
    if (value == nullptr || !value->is_object()) {
        fail(name);
        return empty_object;
    }
    return *value;
}

const json& json_members::any(std::string_view name) {
    const auto* const value = find(name);
    if (value == nullptr) {
        fail(name);
        return empty_object;
    }
    return *value;
}

void json_members::fail(std::string_view name) {
    if (fault_.empty()) {
        fault_ = "missing or mistyped member " + std::string(name);
    }
}

support::error json_members::error() const {
    return {support::error_kind::malformed, fault_, {}};
}

const json* json_members::find(std::string_view name) {
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

} // namespace dragonflystair::net
