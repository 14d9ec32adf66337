#pragma once

#include "dragonflystair/support/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::ledger {

// Checked reads of members. nlohmann's conversions accept negative and fractional numbers for
// unsigned types, which would let readers built differently decide differently. Each returns false
// and leaves `out` alone if the value is not exactly of the type.

inline bool read(const support::json& value, std::uint64_t& out) {
    if (!value.is_number_integer() ||
        (!value.is_number_unsigned() && value.get<std::int64_t>() < 0)) {
        return false;
    }
    out = value.get<std::uint64_t>();
    return true;
}

inline bool read(const support::json& value, int& out) {
    constexpr std::uint64_t max_int = 0x7fffffff;
    std::uint64_t number = 0;
    if (!read(value, number) || number > max_int) {
        return false;
    }
    out = static_cast<int>(number);
    return true;
}

inline bool read(const support::json& value, bool& out) {
    if (!value.is_boolean()) {
        return false;
    }
    out = value.get<bool>();
    return true;
}

inline bool read(const support::json& value, std::string& out) {
    if (!value.is_string()) {
        return false;
    }
    out = value.get_ref<const std::string&>();
    return true;
}

template <class Value> bool read(const support::json& value, std::vector<Value>& out) {
    if (!value.is_array()) {
        return false;
    }
    std::vector<Value> items;
    for (const auto& element : value) {
        Value item{};
        if (!read(element, item)) {
            return false;
        }
        items.push_back(std::move(item));
    }
    out = std::move(items);
    return true;
}

/// Reads the member `name` of an object; false if it is missing.
template <class Value> bool read_member(const support::json& value, const char* name, Value& out) {
    const auto member = value.find(name);
    return member != value.end() && read(*member, out);
}

} // namespace dragonflystair::ledger
