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
    const auto path = net::path_of(request.target);
    if (!serves_()) {
        co_await refuse(exchange, not_run(503, "not_ready",
                                          "this node is not accepting callers; resolve again",
                                          std::chrono::seconds{1}));
        co_return;
    }
    if (path == "/v1/resolve" && request.method == "GET") {
        auto response = resolver_.resolve(request);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path == "/v1/models" && request.method == "GET") {
        auto response = list_models();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path.starts_with("/services/")) {
        co_await plain_.serve(exchange);
        co_return;
    }
    const bool chat = path == "/v1/chat/completions";
    if (!chat && path != "/v1/completions") {
        co_await refuse(exchange, not_run(404, "unknown_path", "unknown request path"));
        co_return;
    }
    if (request.method != "POST") {
        co_await refuse(exchange, not_run(405, "wrong_method", "this path requires POST"));
        co_return;
    }
    co_await models_.serve(exchange, chat);
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

net::awaitable<void> caller_api::refuse(net::http_exchange& exchange, problem refusal) {
    context_.counters.increment("refusals_total", refusal.reason);
    co_await exchange.respond(problem_response(refusal));
}

} // namespace dragonflystair::node
