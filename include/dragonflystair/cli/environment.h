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

/// A request to a node.
struct remote_request {
    std::string address; ///< `IP:PORT`
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/// What a node answered.
struct remote_answer {
    int status = 0;
    std::string retry_after; ///< Seconds as sent; empty if the answer has none.
    std::string body;
};

/// What commands do outside of their own memory; tests replace it.
struct environment {
    std::function<support::async_result<remote_answer>(const remote_request&)> call;
    /// Runs a node until it has stopped and returns its exit code. Throws if it cannot start.
    std::function<int(config::settings)> run_node;
    /// The same for a gateway, which reads its settings again through `reload`.
    std::function<int(const config::gateway_settings&,
                      std::function<std::optional<config::gateway_settings>()> reload)>
        run_gateway;
    /// Value of an environment variable.
    std::function<std::optional<std::string>(const std::string& name)> variable;
};

/// The network, the node and the variables of this process.
environment process_environment();

} // namespace dragonflystair::cli
