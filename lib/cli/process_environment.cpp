#include "dragonflystair/cli/environment.h"
#include "dragonflystair/gateway/gateway.h"
#include "dragonflystair/net/http_client.h"
#include "dragonflystair/node/node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <exception>

namespace dragonflystair::cli {
namespace {

using support::async_result;

net::http_request to_http(const remote_request& request) {
    net::http_request converted;
    converted.method = request.method;
    converted.target = request.target;
    converted.body = request.body;
    converted.headers.insert(request.headers.begin(), request.headers.end());
    return converted;
}

async_result<remote_answer> from_http(async_result<net::http_response> answer) {
    if (!answer) {
        return answer.error();
    }
    auto& response = answer.value();
    return remote_answer{response.status, std::string(net::header(response.headers, "Retry-After")),
                         std::move(response.body)};
}

/// Stores the answer instead of returning it, since `co_spawn` needs a result that is default
/// constructible. The arguments outlive the coroutine.
net::awaitable<void> perform(net::http_client& client, const remote_request& request,
                             async_result<remote_answer>& answer) {
    auto response =
        co_await client.request(request.address, to_http(request), request.timeout, false);
    answer = from_http(std::move(response));
}

async_result<remote_answer> call(const remote_request& request) {
    boost::asio::io_context context;
    net::http_client client(context.get_executor());
    async_result<remote_answer> answer =
        support::error{support::error_kind::unavailable, "the call ended without an answer", {}};
    boost::asio::co_spawn(context, perform(client, request, answer),
                          [&](const std::exception_ptr& failure) {
                              context.stop();
                              if (failure) {
                                  std::rethrow_exception(failure);
                              }
                          });
    context.run();
    return answer;
}

int run_node(config::settings settings) {
    return node::node(std::move(settings)).run();
}

int run_gateway(const config::gateway_settings& settings,
                gateway::gateway::settings_source reload) {
    return gateway::gateway(settings, std::move(reload)).run();
}

std::optional<std::string> variable(const std::string& name) {
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

environment process_environment() {
    return {call, run_node, run_gateway, variable};
}

} // namespace dragonflystair::cli
