#pragma once

#include "dragonflystair/net/http_message.h"

#include "config_table.h"
#include "endpoint_directory.h"
#include "member_table.h"
#include "model_calls.h"
#include "node_context.h"
#include "peer_table.h"

namespace dragonflystair::node {

/// Tells callers which nodes to connect to.
class resolver {
public:
    resolver(node_context& context, const config_table& config, const member_table& members,
             const peer_table& peers, model_calls& models, std::function<bool()> accepts_callers);

    /// Answer to `GET /v1/resolve?model=...`; a plain service is named alone.
    net::http_response resolve(const net::http_request& request);

private:
    [[nodiscard]] std::vector<live_session> usable_nodes() const;

    node_context& context_;
    const config_table& config_;
    const member_table& members_;
    const peer_table& peers_;
    model_calls& models_;
    std::function<bool()> accepts_callers_;
};

} // namespace dragonflystair::node
