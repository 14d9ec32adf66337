#pragma once

#include "dragonflystair/net/http_message.h"

#include "config_table.h"
#include "endpoint_directory.h"
#include "member_table.h"
#include "model_calls.h"
#include "node_context.h"
#include "peer_table.h"

namespace dragonflystair::node {

/// Returns to callers the addresses of the nodes to connect to.
class resolver {
public:
    resolver(node_context& context, const config_table& config, const member_table& members,
             const peer_table& peers, model_calls& models, std::function<bool()> accepts_callers);

    /// Answers `GET /v1/resolve?model=...`. For a plain service, `model` is the service's name.
    net::http_response resolve(const net::http_request& request);

private:
    /// Returns the nodes that accept callers: those in this data centre first, then those in this
    /// region.
    [[nodiscard]] std::vector<live_session> serving_nodes() const;

    node_context& context_;
    const config_table& config_;
    const member_table& members_;
    const peer_table& peers_;
    model_calls& models_;
    std::function<bool()> accepts_callers_;
};

} // namespace dragonflystair::node
