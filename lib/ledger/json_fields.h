#pragma once

#include "dragonflystair/support/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::ledger {

// Strict reads of JSON values. nlohmann's conversions accept negative and fractional numbers for
// unsigned types, so readers of different builds could apply the same record differently. Each
// function returns false and leaves `target` unchanged if the value is not exactly of the type.

inline bool read(const support::json& value, std::uint64_t& target) {
    if (!value.is_number_integer() ||
        (!value.is_number_unsigned() && value.get<std::int64_t>() < 0)) {
        return false;
    }
    target = value.get<std::uint64_t>();
    return true;
}

inline bool read(const support::json& value, int& target) {
    constexpr std::uint64_t max_int = 0x7fffffff;
    std::uint64_t number = 0;
    if (!read(value, number) || number > max_int) {
        return false;
    }
    target = static_cast<int>(number);
    return true;
}

inline bool read(const support::json& value, bool& target) {
    if (!value.is_boolean()) {
        return false;
    }
    target = value.get<bool>();
    return true;
}

inline bool read(const support::json& value, std::string& target) {
    if (!value.is_string()) {
        return false;
    }
    target = value.get_ref<const std::string&>();
    return true;
}

template <class Value> bool read(const support::json& value, std::vector<Value>& target) {
    if (!value.is_array()) {
        return false;
    }
    std::vector<Value> elements;
    for (const auto& element : value) {
        Value item{};
        if (!read(element, item)) {
            return false;
        }
        elements.push_back(std::move(item));
    }
    target = std::move(elements);
    return true;
}

/// Reads the member `name` of an object. Returns false if it is missing.
template <class Value>
bool read_member(const support::json& value, const char* name, Value& target) {
    const auto member = value.find(name);
    return member != value.end() && read(*member, target);
}

} // namespace dragonflystair::ledger
