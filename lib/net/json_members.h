#pragma once

#include "dragonflystair/support/error.h"
#include "dragonflystair/support/json.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

/// Reads typed members of an untrusted JSON object. A missing or mistyped member is recorded as a
/// fault and read as an empty value, so that one check after reading all members is enough.
class json_members {
public:
    explicit json_members(const support::json& object);

    std::uint64_t number(std::string_view name);
    std::string text(std::string_view name);
    std::vector<std::string> texts(std::string_view name);
    const support::json& array(std::string_view name);
    const support::json& object(std::string_view name);
    /// Returns a member of any type.
    const support::json& any(std::string_view name);

    /// Records a member as faulty, for checks beyond its type.
    void fail(std::string_view name);

    [[nodiscard]] bool ok() const { return fault_.empty(); }
    /// Returns a `malformed` error with the first fault.
    [[nodiscard]] support::error error() const;

private:
    const support::json* find(std::string_view name);

    const support::json& object_;
    std::string fault_;
};

} // namespace dragonflystair::net
