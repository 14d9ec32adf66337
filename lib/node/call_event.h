#pragma once

#include "dragonflystair/support/json.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace dragonflystair::node {

/// One token event of an answer: its position in the stream and the engine's JSON text.
struct token_event {
    std::uint64_t position = 0;
    std::string data;
};

/// Result of one attempt at a request.
enum class attempt_end_kind {
    completed,
    refused,     ///< Refused by the owner before dispatch.
    interrupted, ///< The stream failed; it can be resumed on another endpoint.
    crashed,     ///< The engine restarted while running the request.
    rejected,    ///< The engine returned an error that another endpoint would return too.
    caller_gone,
};

/// End of an attempt. `reason` is also the label of the counter that the end increments.
struct attempt_end {
    attempt_end_kind kind = attempt_end_kind::completed;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
};

/// Constructs an `attempt_end`. Coroutines use this function instead of a braced list, whose
/// temporaries g++ 12 destroys twice in a coroutine.
attempt_end ended(attempt_end_kind kind, std::string reason,
                  std::chrono::milliseconds retry_after = {});

using call_event = std::variant<token_event, attempt_end>;

/// Receives the events of one attempt in order. Safe to call from any thread.
using call_sink = std::function<void(call_event)>;

/// Returns the `model` member of an event's JSON text; empty if the text is not a JSON object with
/// a string of that name.
std::string model_of(std::string_view data);

} // namespace dragonflystair::node
