#pragma once

#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/json.h"

#include <chrono>
#include <string_view>

namespace dragonflystair::net {

/// Contents of an error response.
struct problem {
    int status = 500;
    std::string_view reason;              ///< Machine-readable reason, a label of `refusals_total`.
    std::string_view detail;              ///< Human-readable explanation.
    std::string_view outcome = "not_run"; ///< Whether the call has run: `not_run` or `unknown`.
    std::chrono::milliseconds retry_after{0}; ///< 0 omits the Retry-After header.
};

/// Returns the `error` object that clients of the OpenAI API expect in an error response.
support::json error_object(std::string_view message, std::string_view reason);

/// Renders a response with a problem details body (RFC 9457). Retry-After is rounded up to whole
/// seconds.
http_response render(const problem& details);

/// Parses a Retry-After header in seconds. Returns 0 if it is absent or not a number.
std::chrono::milliseconds retry_after_of(const http_headers& headers);

} // namespace dragonflystair::net
