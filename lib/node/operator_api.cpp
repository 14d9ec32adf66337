#include "operator_api.h"

#include "dragonflystair/support/json.h"

#include "problem.h"
#include "sleep.h"

#include <openssl/crypto.h>

#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace dragonflystair::node {

namespace {

net::http_response json_response(const support::json& body, int status = 200) {
    net::http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = body.dump(-1, ' ', false, support::json::error_handler_t::replace);
    return response;
}

net::http_response text_response(std::string body, int status = 200) {
    net::http_response response;
    response.status = status;
    response.headers["Content-Type"] = "text/plain; charset=utf-8";
    response.body = std::move(body);
    return response;
}

/// Compares secrets of the same length in constant time, so that the duration does not reveal the
/// position of the first difference.
bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

net::http_response findings_response(const support::findings& findings) {
    support::json items = support::json::array();
    for (const auto& finding : findings) {
        items.push_back({{"line", finding.line}, {"message", finding.message}});
    }
    return json_response({{"findings", std::move(items)}}, 400);
}

net::http_response
in_force_response(ledger::position revision,
                  const std::pair<std::vector<std::string>, std::vector<std::string>>& reached) {
    return json_response(
        {{"revision", revision}, {"in_force", reached.first}, {"missing", reached.second}});
}

std::string_view name_of(membership::endpoint_state state) {
    switch (state) {
    case membership::endpoint_state::live:
        return "live";
    case membership::endpoint_state::suspected:
        return "suspected";
    case membership::endpoint_state::leaving:
        return "leaving";
    case membership::endpoint_state::gone:
        return "gone";
    }
    return "unknown";
}

std::optional<ledger::position> revision_of(const std::string& text) {
    ledger::position value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

operator_api::operator_api(operator_services services) : services_(std::move(services)) {}

net::awaitable<void> operator_api::serve(net::http_exchange& exchange) {
    auto response = answer_from_head(exchange.request());
    if (!response) {
        response = co_await publish(exchange.request());
    }
    co_await exchange.respond(std::move(*response));
}

bool operator_api::authorized(const net::http_request& request) const {
    constexpr std::string_view scheme = "Bearer ";
    const auto authorization = net::header(request.headers, "Authorization");
    return authorization.starts_with(scheme) &&
           equal_in_constant_time(authorization.substr(scheme.size()),
                                  services_.context.settings.operator_token);
}

std::optional<net::http_response>
operator_api::answer_from_head(const net::http_request& request) const {
    const auto path = net::path_of(request.target);
    if (path == "/healthz") {
        return text_response("ok\n");
    }
    if (path == "/readyz") {
        const bool ready = services_.ready();
        return text_response(ready ? "ready\n" : services_.lifecycle() + "\n", ready ? 200 : 503);
    }
    if (path == "/metrics") {
        return metrics();
    }
    if (!authorized(request)) {
        services_.context.counters.increment("operator_refusals_total", "unauthorized");
        return problem_response(not_run(401, "unauthorized", "a valid bearer token is required"));
    }
    if (path == "/v1/status") {
        return status();
    }
    if (path == "/v1/history") {
        return history();
    }
    if (path == "/v1/text") {
        auto response = text_response(config::render(services_.config.view()->sections));
        response.headers["X-Revision"] = std::to_string(services_.config.view()->revision);
        return response;
    }
    if (path == "/v1/publish" && request.method == "POST") {
        return std::nullopt;
    }
    return problem_response(
        not_run(404, "unknown_path", "the operator API has no such path or method"));
}

net::http_response operator_api::metrics() const {
    services_.update_gauges();
    auto text = services_.context.counters.render();
    services_.context.first_token_latency.render("first_token_seconds", text);
    services_.context.plain_call_latency.render("plain_call_seconds", text);
    return text_response(std::move(text));
}

net::http_response operator_api::status() const {
    support::json peers = support::json::array();
    for (const auto& peer : services_.peers.all()) {
        peers.push_back(
            {{"node", peer.node}, {"data_centre", peer.data_centre}, {"revision", peer.revision}});
    }
    support::json endpoints = support::json::array();
    for (const auto& row : services_.directory.all(node_context::now())) {
        const auto& vm = row.status.vm;
        const auto owner = services_.members.owner_of(vm.id);
        endpoints.push_back({{"id", vm.id},
                             {"service", vm.service},
                             {"data_centre", vm.data_centre},
                             {"state", name_of(row.status.state)},
                             {"owner", owner ? owner->session.node : ""},
                             {"resident", row.load ? row.load->resident.size() : 0},
                             {"running", row.load ? row.load->running : row.own_in_flight},
                             {"queued", row.load ? row.load->queued : 0}});
    }
    return json_response({{"node", services_.context.settings.name},
                          {"revision", services_.config.view()->revision},
                          {"ready", services_.ready()},
                          {"lifecycle", services_.lifecycle()},
                          {"peers", peers},
                          {"endpoints", endpoints}});
}

net::http_response operator_api::history() const {
    support::json changes = support::json::array();
    for (const auto& change : services_.config.history()) {
        changes.push_back({{"revision", change.at},
                           {"base", change.base},
                           {"author", change.author},
                           {"sections", change.sections},
                           {"conflicts", change.conflicts}});
    }
    return json_response({{"changes", changes}});
}

net::awaitable<net::http_response> operator_api::publish(const net::http_request& request) {
    const auto base = revision_of(net::query_value(request.target, "base"));
    if (!base) {
        co_return problem_response(not_run(
            400, "missing_base", "the query parameter base=REVISION is missing or malformed"));
    }
    const auto parsed = config::parse_deployment(request.body, "text");
    if (!parsed.findings.empty()) {
        services_.context.counters.increment("operator_refusals_total", "findings");
        co_return findings_response(parsed.findings);
    }
    ledger::config_change change;
    change.base = *base;
    change.author = std::string(net::header(request.headers, "X-Author"));
    change.sections = config::changed_sections(services_.config.view()->sections, parsed.sections);
    if (change.sections.empty()) {
        auto unchanged = co_await wait_until_in_force(services_.config.view()->revision);
        co_return unchanged;
    }
    ledger::record record = std::move(change);
    const auto position =
        co_await services_.config_writer.append_and_wait(std::move(record), publish_timeout);
    if (!position) {
        services_.context.counters.increment("operator_refusals_total", "log_unavailable");
        auto refusal = failed_call(
            {true, true}, "log_unavailable",
            "the change was not read back from the log in time; see the history for its outcome",
            std::chrono::seconds{2});
        co_return problem_response(refusal);
    }
    auto conflict = conflict_response(*position);
    if (conflict) {
        services_.context.counters.increment("operator_refusals_total", "conflict");
        co_return std::move(*conflict);
    }
    auto response = co_await wait_until_in_force(*position);
    co_return response;
}

std::optional<net::http_response> operator_api::conflict_response(ledger::position position) const {
    for (const auto& change : services_.config.history()) {
        if (change.at == position && !change.conflicts.empty()) {
            return json_response(
                {{"conflicts", change.conflicts}, {"revision", services_.config.view()->revision}},
                409);
        }
    }
    return std::nullopt;
}

std::pair<std::vector<std::string>, std::vector<std::string>>
operator_api::data_centres_by_revision(ledger::position revision) const {
    std::map<std::string, bool> in_force;
    in_force[services_.context.settings.data_centre] =
        services_.config.view()->revision >= revision;
    for (const auto& session : services_.members.sessions()) {
        if (session.open.incarnation == services_.context.incarnation) {
            continue;
        }
        const auto peer = services_.peers.find(session.open.incarnation);
        auto [entry, added] = in_force.try_emplace(session.open.data_centre, true);
        entry->second = entry->second && peer && peer->revision >= revision;
    }
    std::pair<std::vector<std::string>, std::vector<std::string>> result;
    for (const auto& [data_centre, reached] : in_force) {
        (reached ? result.first : result.second).push_back(data_centre);
    }
    return result;
}

net::awaitable<net::http_response> operator_api::wait_until_in_force(ledger::position revision) {
    const auto deadline = node_context::now() + publish_timeout;
    auto reached = data_centres_by_revision(revision);
    while (!reached.second.empty() && node_context::now() < deadline) {
        co_await sleep_for(std::chrono::milliseconds{50});
        reached = data_centres_by_revision(revision);
    }
    co_return in_force_response(revision, reached);
}

} // namespace dragonflystair::node
