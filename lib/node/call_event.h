#pragma once

#include "dragonflystair/support/json.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace dragonflystair::node {

/// One event of an answer: its position and the JSON text of the engine.
struct token_event {
    std::uint64_t position = 0;
    std::string data;
};

/// How one attempt at a request ended.
enum class attempt_end_kind {
    completed,
    refused,     ///< By the owner, before it was dispatched.
    interrupted, ///< The stream broke; it can be resumed elsewhere.
    crashed,     ///< The engine restarted while it ran the request.
    rejected,    ///< The engine answered with an error that another endpoint would repeat.
    caller_gone,
};

/// End of an attempt. `reason` names a counter.
struct attempt_end {
    attempt_end_kind kind = attempt_end_kind::completed;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
};

/// Ends with a reason. Coroutines use this, since g++ 12 destroys the temporaries of a braced list
/// in a coroutine twice.
attempt_end ended(attempt_end_kind kind, std::string reason,
                  std::chrono::milliseconds retry_after = {});

using call_event = std::variant<token_event, attempt_end>;

/// Receives the events of one attempt in order; safe from any thread.
using call_sink = std::function<void(call_event)>;

/// The engine's adapter and version in an event's JSON; empty if the text is not such an event.
std::string model_of(std::string_view data);

} // namespace dragonflystair::node
