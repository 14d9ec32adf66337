#include "problem.h"

#include "dragonflystair/net/problem.h"
#include "dragonflystair/support/json.h"

#include <fmt/format.h>

#include <utility>

namespace dragonflystair::node {

namespace {

std::string title_of(std::string_view reason) {
    std::string title(reason);
    for (auto& letter : title) {
        letter = letter == '_' ? ' ' : letter;
    }
    return title;
}

} // namespace

problem not_run(int status, std::string reason, std::string detail,
                std::chrono::milliseconds retry_after) {
    problem refusal;
    refusal.status = status;
    refusal.reason = std::move(reason);
    refusal.detail = std::move(detail);
    refusal.retry_after = retry_after;
    return refusal;
}

problem failed_call(call_progress progress, std::string reason, std::string detail,
                    std::chrono::milliseconds retry_after) {
    auto refusal = not_run(503, std::move(reason), std::move(detail), retry_after);
    if (progress.may_have_run) {
        refusal.status = progress.timed_out ? 504 : 502;
        refusal.outcome = "unknown";
    }
    return refusal;
}

std::string problem_body(const problem& refusal) {
    const support::json body{{"type", fmt::format("urn:dragonflystair:problem:{}", refusal.reason)},
                             {"title", title_of(refusal.reason)},
                             {"status", refusal.status},
                             {"detail", refusal.detail},
                             {"reason", refusal.reason},
                             {"outcome", refusal.outcome},
                             // Clients of the OpenAI API read this object.
                             {"error", net::error_object(refusal.detail, refusal.reason)}};
    return body.dump(-1, ' ', false, support::json::error_handler_t::replace);
}

net::http_response problem_response(const problem& refusal) {
    net::http_response response;
    response.status = refusal.status;
    response.headers["Content-Type"] = "application/problem+json";
    if (refusal.retry_after.count() > 0) {
        response.headers["Retry-After"] =
            fmt::format("{}", (refusal.retry_after.count() + 999) / 1000);
    }
    response.body = problem_body(refusal);
    return response;
}

} // namespace dragonflystair::node
