#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"

#include <string>

namespace dragonflystair::node {

/// Outcome of sending a plain call to an endpoint.
enum class send_result {
    answered, ///< The response is passed on to the caller.
    not_run,  ///< The endpoint was not reached or says that the call has not run.
    unknown,  ///< The call may have run; there is no response to pass on.
};

/// A promise that the call has not run is passed on only if the endpoint has made it explicitly,
/// since servers also respond with such a status after they have begun to run a call.
send_result result_of(const net::async_result<net::http_response>& answer);

/// Returns the reason of a refusal after a response that is not passed on, or without a response.
std::string failure_reason(const net::async_result<net::http_response>& answer);

} // namespace dragonflystair::node
