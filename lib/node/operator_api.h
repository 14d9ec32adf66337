#pragma once

#include "dragonflystair/net/http_server.h"

#include "config_table.h"
#include "endpoint_directory.h"
#include "log_writer.h"
#include "member_table.h"
#include "node_context.h"
#include "peer_table.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflystair::node {

/// Components of the node that the operator API uses.
struct operator_services {
    node_context& context;
    const config_table& config;
    const member_table& members;
    const endpoint_directory& directory;
    const peer_table& peers;
    log_writer& config_writer;
    std::function<bool()> ready;
    std::function<std::string()> lifecycle;
    std::function<void()> update_gauges; ///< Called before each rendering of the metrics.
};

/// HTTP API for operators: publishes changes of the configuration, and serves the configuration,
/// its history, node status, metrics, and health and readiness checks.
class operator_api {
public:
    /// Timeout for a change to be read back from the log, and again for it to be in force in every
    /// data centre.
    static constexpr std::chrono::milliseconds publish_timeout{5'000};

    explicit operator_api(operator_services services);

    net::awaitable<void> serve(net::http_exchange& exchange);

    /// Returns the response to a request that needs no body, which is any other than an authorized
    /// one to publish.
    [[nodiscard]] std::optional<net::http_response>
    answer_from_head(const net::http_request& request) const;

private:
    [[nodiscard]] bool authorized(const net::http_request& request) const;
    [[nodiscard]] net::http_response metrics() const;
    [[nodiscard]] net::http_response status() const;
    [[nodiscard]] net::http_response history() const;
    net::awaitable<net::http_response> publish(const net::http_request& request);
    /// Returns the response for a change that conflicted with another one, or an empty optional if
    /// the change at this position had no conflict.
    [[nodiscard]] std::optional<net::http_response>
    conflict_response(ledger::position position) const;
    net::awaitable<net::http_response> wait_until_in_force(ledger::position revision);
    /// Returns the data centres in which all nodes have reached `revision`, and the other ones.
    [[nodiscard]] std::pair<std::vector<std::string>, std::vector<std::string>>
    data_centres_by_revision(ledger::position revision) const;

    operator_services services_;
};

} // namespace dragonflystair::node
