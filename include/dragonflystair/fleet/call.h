#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// A section of a prompt that other calls may share, the unit of prefix caching.
struct prompt_part {
    std::uint64_t id = 0;
    std::size_t tokens = 0;
};

/// Base model and adapter that a call names; both are empty for a service without engines.
struct model_name {
    std::string model;
    std::string adapter; ///< Empty for the base model itself.

    auto operator<=>(const model_name&) const = default;
};

/// The routing-relevant fields of a caller's request; the forwarded bytes are kept elsewhere.
struct call_request {
    std::string id;
    std::string host;
    std::string path;
    std::chrono::milliseconds caller_timeout{0}; ///< Time the caller waits; 0 if unspecified.
    model_name model;
    std::size_t prompt_tokens = 0;
    std::size_t output_tokens = 0;
    std::vector<prompt_part> prompt;
    std::string key;           ///< Secret that identifies the caller's tenant; never logged.
    std::string last_event_id; ///< Last event received before a stream is resumed.
};

} // namespace dragonflystair::fleet
