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

/// Services of the node that the operators' interface uses.
struct operator_services {
    node_context& context;
    const config_table& config;
    const member_table& members;
    const endpoint_directory& directory;
    const peer_table& peers;
    log_writer& config_writer;
    std::function<bool()> ready;
    std::function<std::string()> lifecycle;
    std::function<void()> update_gauges; ///< Called before metrics are rendered.
};

/// The operators' HTTP interface: publish, status, history, text, metrics and health.
class operator_api {
public:
    /// Wait for a change to be read back, and then for it to be in force in every data centre.
    static constexpr std::chrono::milliseconds publish_timeout{5'000};

    explicit operator_api(operator_services services);

    net::awaitable<void> serve(net::http_exchange& exchange);

private:
    net::awaitable<net::http_response> route(const net::http_request& request);
    [[nodiscard]] bool authorized(const net::http_request& request) const;
    [[nodiscard]] net::http_response metrics() const;
    [[nodiscard]] net::http_response status() const;
    [[nodiscard]] net::http_response history() const;
    net::awaitable<net::http_response> publish(const net::http_request& request);
    /// The answer if the change at a position lost against another one.
    [[nodiscard]] std::optional<net::http_response> conflict_response(ledger::position place) const;
    net::awaitable<net::http_response> wait_until_in_force(ledger::position revision);
    [[nodiscard]] std::pair<std::vector<std::string>, std::vector<std::string>>
    data_centres_by_revision(ledger::position revision) const;

    operator_services services_;
};

} // namespace dragonflystair::node
