#pragma once

#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <string>
#include <string_view>

namespace dragonflystair::node {

/// A refusal of a request as RFC 9457 problem details. `outcome` is `not_run`, `unknown` or
/// `completed`.
struct problem {
    int status = 503;
    std::string reason;
    std::string detail;
    std::string outcome = "not_run";
    std::chrono::milliseconds retry_after{0}; ///< 0 omits the Retry-After header.
};

/// Constructs a refusal of a request that was not run. Coroutines use this function instead of a
/// braced list, whose temporaries g++ 12 destroys twice in a coroutine.
problem not_run(int status, std::string reason, std::string detail,
                std::chrono::milliseconds retry_after = {});

/// How far a call has come that ends without a usable response.
struct call_progress {
    bool may_have_run = false; ///< At any of the endpoints that it was sent to.
    bool timed_out = false;    ///< Its deadline has passed.
};

/// Constructs the refusal of a call that ends without a usable response. Status 503 promises that
/// the call has not run, so one that may have run gets 504 after its deadline and 502 before, with
/// the outcome `unknown`.
problem failed_call(call_progress progress, std::string reason, std::string detail,
                    std::chrono::milliseconds retry_after);

/// Returns the JSON body of the problem details, which includes an OpenAI error object.
std::string problem_body(const problem& refusal);

/// Returns the HTTP response for a refusal. Retry-After is in whole seconds, rounded up.
net::http_response problem_response(const problem& refusal);

} // namespace dragonflystair::node
