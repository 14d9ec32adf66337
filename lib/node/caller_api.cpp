#include "caller_api.h"

#include "dragonflystair/support/json.h"

#include <utility>

namespace dragonflystair::node {

caller_api::caller_api(node_context& context, resolver& resolver, model_calls& models,
                       plain_calls& plain, std::function<bool()> serves,
                       std::function<std::vector<std::string>()> model_names)
    : context_(context), resolver_(resolver), models_(models), plain_(plain),
      serves_(std::move(serves)), model_names_(std::move(model_names)) {}

net::awaitable<void> caller_api::serve(net::http_exchange& exchange) {
    const auto& request = exchange.request();
    if (auto refusal = refuse_from_head(request)) {
        co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    const auto path = net::path_of(request.target);
    if (path == "/v1/resolve") {
        auto response = resolver_.resolve(request);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path == "/v1/models") {
        auto response = list_models();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path.starts_with("/services/")) {
        co_await plain_.serve(exchange);
        co_return;
    }
    co_await models_.serve(exchange, path == "/v1/chat/completions");
}

std::optional<net::http_response> caller_api::refuse_from_head(const net::http_request& head) {
    const auto refusal = refusal_of(head);
    if (!refusal) {
        return std::nullopt;
    }
    context_.counters.increment("refusals_total", refusal->reason);
    return problem_response(*refusal);
}

std::optional<problem> caller_api::refusal_of(const net::http_request& request) const {
    if (!serves_()) {
        return not_run(503, "not_ready", "this node is not accepting callers; resolve again",
                       std::chrono::seconds{1});
    }
    const auto path = net::path_of(request.target);
    const bool listed = path == "/v1/resolve" || path == "/v1/models";
    if (path.starts_with("/services/") || (listed && request.method == "GET")) {
        return std::nullopt;
    }
    if (path != "/v1/chat/completions" && path != "/v1/completions") {
        return not_run(404, "unknown_path", "unknown request path");
    }
    if (request.method != "POST") {
        return not_run(405, "wrong_method", "this path requires POST");
    }
    return std::nullopt;
}

/// Lists the models in the format of the OpenAI API, whose clients request this list first.
net::http_response caller_api::list_models() const {
    auto data = support::json::array();
    for (const auto& name : model_names_()) {
        data.push_back({{"id", name}, {"object", "model"}, {"owned_by", "dragonflystair"}});
    }
    const support::json body{{"object", "list"}, {"data", std::move(data)}};
    net::http_response response;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump();
    return response;
}

} // namespace dragonflystair::node
