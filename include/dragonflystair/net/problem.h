#pragma once

#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/json.h"

#include <chrono>
#include <string_view>

namespace dragonflystair::net {

/// What a refusal says beside its status.
struct problem {
    int status = 500;
    std::string_view reason;                  ///< Name of the reason, as in `refusals_total`.
    std::string_view detail;                  ///< One sentence for a person.
    std::string_view outcome = "not_run";     ///< `not_run` or `unknown`.
    std::chrono::milliseconds retry_after{0}; ///< 0 leaves the Retry-After header out.
};

/// The `error` object that clients of the OpenAI interface look for in a refusal.
support::json error_object(std::string_view message, std::string_view reason);

/// Response with a problem details body (RFC 9457). Retry-After is rounded up to whole seconds.
http_response render(const problem& item);

/// Value of a Retry-After header in seconds; 0 if it is absent or no number.
std::chrono::milliseconds retry_after_of(const http_headers& headers);

} // namespace dragonflystair::net
