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
    problem item;
    item.status = status;
    item.reason = std::move(reason);
    item.detail = std::move(detail);
    item.retry_after = retry_after;
    return item;
}

std::string problem_body(const problem& item) {
    const support::json body{{"type", fmt::format("urn:dragonflystair:problem:{}", item.reason)},
                             {"title", title_of(item.reason)},
                             {"status", item.status},
                             {"detail", item.detail},
                             {"reason", item.reason},
                             {"outcome", item.outcome},
                             // Clients of the OpenAI interface read this object.
                             {"error", net::error_object(item.detail, item.reason)}};
    return body.dump(-1, ' ', false, support::json::error_handler_t::replace);
}

net::http_response problem_response(const problem& item) {
    net::http_response response;
    response.status = item.status;
    response.headers["Content-Type"] = "application/problem+json";
    if (item.retry_after.count() > 0) {
        response.headers["Retry-After"] =
            fmt::format("{}", (item.retry_after.count() + 999) / 1000);
    }
    response.body = problem_body(item);
    return response;
}

} // namespace dragonflystair::node
