#include "resolver.h"

#include "dragonflystair/support/json.h"

#include "problem.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflystair::node {

resolver::resolver(node_context& context, const config_table& config, const member_table& members,
                   const peer_table& peers, model_calls& models,
                   std::function<bool()> accepts_callers)
    : context_(context), config_(config), members_(members), peers_(peers), models_(models),
      accepts_callers_(std::move(accepts_callers)) {}

std::vector<live_session> resolver::serving_nodes() const {
    std::vector<live_session> nodes;
    for (auto& session : members_.sessions()) {
        const bool self = session.open.incarnation == context_.incarnation;
        const auto status = peers_.find(session.open.incarnation);
        if (self ? accepts_callers_() : status && status->accepts_callers) {
            nodes.push_back(std::move(session));
        }
    }
    const auto distance = [this](const live_session& session) {
        if (session.open.data_centre == context_.settings.data_centre) {
            return 0;
        }
        return session.open.region == context_.settings.region ? 1 : 2;
    };
    std::ranges::stable_sort(nodes, {}, distance);
    return nodes;
}

net::http_response resolver::resolve(const net::http_request& request) {
    const auto model = net::query_value(request.target, "model");
    const auto view = config_.view();
    const auto full = view->deployment.full_name(model);
    const bool plain = view->deployment.services.contains(model);
    if (!full && !plain) {
        context_.counters.increment("refusals_total", "unknown_model");
        return problem_response(
            not_run(404, "unknown_model", "no such service, adapter or version"));
    }
    auto nodes = serving_nodes();
    if (nodes.empty()) {
        context_.counters.increment("refusals_total", "not_ready");
        return problem_response(
            {503, "not_ready", "no node is accepting callers", "not_run", std::chrono::seconds{1}});
    }
    if (full) {
        const auto service = model.substr(0, model.find('/'));
        const auto route = models_.route_for(service, *full, {});
        const auto owner = route ? members_.owner_of(route->endpoint) : std::nullopt;
        if (owner) {
            std::ranges::stable_partition(nodes, [&](const live_session& session) {
                return session.id == owner->holder.session;
            });
        }
    }
    support::json addresses = support::json::array();
    for (const auto& session : nodes) {
        addresses.push_back(
            {{"address", session.open.caller_address}, {"data_centre", session.open.data_centre}});
    }
    const auto lifetime =
        std::chrono::duration_cast<std::chrono::seconds>(context_.settings.answer_lifetime);
    net::http_response response;
    response.headers["Content-Type"] = "application/json";
    response.body =
        support::json{{"addresses", addresses}, {"lifetime_seconds", lifetime.count()}}.dump();
    return response;
}

} // namespace dragonflystair::node
