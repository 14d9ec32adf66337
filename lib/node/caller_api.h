#pragma once

#include "dragonflystair/net/http_server.h"

#include "model_calls.h"
#include "node_context.h"
#include "plain_calls.h"
#include "resolver.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::node {

/// The HTTP interface for callers: resolution, model list, completions and plain services.
class caller_api {
public:
    caller_api(node_context& context, resolver& resolver, model_calls& models, plain_calls& plain,
               std::function<bool()> serves, std::function<std::vector<std::string>()> model_names);

    net::awaitable<void> serve(net::http_exchange& exchange);

    /// Returns the refusal of a request that can be refused before its body has arrived.
    [[nodiscard]] std::optional<net::http_response> refuse_from_head(const net::http_request& head);

private:
    [[nodiscard]] std::optional<problem> refusal_of(const net::http_request& request) const;
    [[nodiscard]] net::http_response list_models() const;

    node_context& context_;
    resolver& resolver_;
    model_calls& models_;
    plain_calls& plain_;
    std::function<bool()> serves_;
    std::function<std::vector<std::string>()> model_names_;
};

} // namespace dragonflystair::node
