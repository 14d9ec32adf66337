#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// A part of a prompt that other calls may share.
struct prompt_part {
    std::uint64_t id = 0;
    std::size_t tokens = 0;
};

/// Base model and adapter that a call names; both empty for a plain service.
struct model_name {
    std::string model;
    std::string adapter; ///< Empty for the base model itself.

    auto operator<=>(const model_name&) const = default;
};

/// What the caller asked for, apart from the bytes that are forwarded.
struct call_request {
    std::string id;
    std::string host;
    std::string path;
    std::chrono::milliseconds caller_timeout{
        0}; ///< How long the caller waits; 0 if it did not say.
    model_name model;
    std::size_t prompt_tokens = 0;
    std::size_t output_tokens = 0;
    std::vector<prompt_part> prompt;
    std::string last_event_id; ///< Where a resumed stream goes on.
};

} // namespace dragonflystair::fleet
