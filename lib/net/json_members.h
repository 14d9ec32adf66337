#pragma once

#include "dragonflystair/support/error.h"
#include "dragonflystair/support/json.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

/// Reads typed members of a JSON object from outside. A missing or mistyped member is recorded and
/// gives an empty value, so that a caller checks once, after all members were read.
class json_members {
public:
    explicit json_members(const support::json& object);

    std::uint64_t number(std::string_view name);
    std::string text(std::string_view name);
    std::vector<std::string> texts(std::string_view name);
    /// An array or object; an empty value of the type if it is missing.
    const support::json& array(std::string_view name);
    const support::json& object(std::string_view name);
    const support::json& any(std::string_view name);

    /// Records a fault that the caller found itself.
    void fail(std::string_view name);

    [[nodiscard]] bool ok() const { return fault_.empty(); }
    /// A `malformed` error that names the first fault.
    [[nodiscard]] support::error error() const;

private:
    const support::json* find(std::string_view name);

    const support::json& object_;
    std::string fault_;
};

} // namespace dragonflystair::net
