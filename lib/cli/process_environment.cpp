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

async_result<remote_response> from_http(async_result<net::http_response> result) {
    if (!result) {
        return result.error();
    }
    auto& response = result.value();
    return remote_response{response.status,
                           std::string(net::header(response.headers, "Retry-After")),
                           std::move(response.body)};
}

/// Stores the result in an output parameter because `co_spawn` requires a return type that is
/// default constructible. The arguments must outlive the coroutine.
net::awaitable<void> perform(net::http_client& client, const remote_request& request,
                             async_result<remote_response>& result) {
    auto response =
        co_await client.request(request.address, to_http(request), request.timeout, false);
    result = from_http(std::move(response));
}

async_result<remote_response> call(const remote_request& request) {
    boost::asio::io_context context;
    net::http_client client(context.get_executor());
    async_result<remote_response> result =
        support::error{support::error_kind::unavailable, "the call ended without a response", {}};
    boost::asio::co_spawn(context, perform(client, request, result),
                          [&](const std::exception_ptr& failure) {
                              context.stop();
                              if (failure) {
                                  std::rethrow_exception(failure);
                              }
                          });
    context.run();
    return result;
}

int run_node(config::settings settings) {
    return node::node(std::move(settings)).run();
}

int run_gateway(const config::gateway_settings& settings,
                gateway::gateway::settings_source reload) {
    return gateway::gateway(settings, std::move(reload)).run();
}

std::optional<std::string> environment_variable(const std::string& name) {
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

environment process_environment() {
    return {call, run_node, run_gateway, environment_variable};
}

} // namespace dragonflystair::cli
