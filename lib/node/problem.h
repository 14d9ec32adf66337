#pragma once

#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <string>
#include <string_view>

namespace dragonflystair::node {

/// A refusal as RFC 9457 problem details. `outcome` is `not_run`, `unknown` or `completed`.
struct problem {
    int status = 503;
    std::string reason;
    std::string detail;
    std::string outcome = "not_run";
    std::chrono::milliseconds retry_after{0}; ///< No Retry-After header if 0.
};

/// A refusal of what was not run. Coroutines use this, since g++ 12 destroys the temporaries of a
/// braced list in a coroutine twice.
problem not_run(int status, std::string reason, std::string detail,
                std::chrono::milliseconds retry_after = {});

/// JSON body of the problem.
std::string problem_body(const problem& item);

/// Whole response with the content type and the Retry-After header in whole seconds, rounded up.
net::http_response problem_response(const problem& item);

} // namespace dragonflystair::node
