#include "send_result.h"

#include <fmt/format.h>

namespace dragonflystair::node {

namespace {

/// Returns whether a response with this status promises that the call has not run.
bool promises_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

send_result result_of(const net::async_result<net::http_response>& answer) {
    if (!answer.has_value()) {
        return answer.error().kind == support::error_kind::unavailable ? send_result::not_run
                                                                       : send_result::unknown;
    }
    const auto& response = answer.value();
    if (!promises_not_run(response.status)) {
        return send_result::answered;
    }
    return net::header(response.headers, "X-Not-Run") == "true" ? send_result::not_run
                                                                : send_result::unknown;
}

std::string failure_reason(const net::async_result<net::http_response>& answer) {
    if (!answer.has_value()) {
        return fmt::format("endpoint_{}", to_string(answer.error().kind));
    }
    return result_of(answer) == send_result::not_run ? "endpoint_refused" : "endpoint_unknown";
}

} // namespace dragonflystair::node
