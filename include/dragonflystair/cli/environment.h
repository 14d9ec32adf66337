#pragma once

#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/config/settings.h"
#include "dragonflystair/support/error.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::cli {

/// HTTP request to a node.
struct remote_request {
    std::string address; ///< `IP:PORT`
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/// HTTP response of a node.
struct remote_response {
    int status = 0;
    std::string retry_after; ///< Value of Retry-After in seconds; empty if absent.
    std::string body;
};

/// External effects of the commands: network calls, processes and environment variables. Tests
/// substitute their own.
struct environment {
    std::function<support::async_result<remote_response>(const remote_request&)> call;
    /// Runs a node until it stops and returns its exit code. Throws if the node cannot start.
    std::function<int(config::settings)> run_node;
    /// Runs a gateway likewise. The gateway rereads its settings through `reload`, which returns
    /// nullopt if they are invalid.
    std::function<int(const config::gateway_settings&,
                      std::function<std::optional<config::gateway_settings>()> reload)>
        run_gateway;
    /// Returns the value of an environment variable, or nullopt if it is not set.
    std::function<std::optional<std::string>(const std::string& name)> variable;
};

/// Returns the environment of this process: real network, node, gateway and variables.
environment process_environment();

} // namespace dragonflystair::cli
