#include "dragonflystair/support/json.h"

#include "commands.h"
#include "remote_command.h"
#include "table.h"

#include <fmt/format.h>

namespace dragonflystair::cli {
namespace {

std::string peers_table(const support::json& body) {
    std::vector<std::vector<std::string>> rows{{"PEER", "DATA CENTRE", "REVISION"}};
    for (const auto& peer : member_list(body, "peers")) {
        rows.push_back({member_text(peer, "node"), member_text(peer, "data_centre"),
                        member_text(peer, "revision")});
    }
    return render_table(rows);
}

std::string endpoints_table(const support::json& body) {
    std::vector<std::vector<std::string>> rows{
        {"ENDPOINT", "SERVICE", "DATA CENTRE", "STATE", "OWNER", "RUNNING", "QUEUED", "RESIDENT"}};
    for (const auto& endpoint : member_list(body, "endpoints")) {
        rows.push_back({member_text(endpoint, "id"), member_text(endpoint, "service"),
                        member_text(endpoint, "data_centre"), member_text(endpoint, "state"),
                        member_text(endpoint, "owner"), member_text(endpoint, "running"),
                        member_text(endpoint, "queued"), member_text(endpoint, "resident")});
    }
    return render_table(rows);
}

command_result status_result(const remote_response& response) {
    if (response.status != 200) {
        return refused_result(response);
    }
    const auto body = support::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return malformed_response();
    }
    const auto node = render_table({{"NODE", "REVISION", "READY", "LIFECYCLE"},
                                    {member_text(body, "node"), member_text(body, "revision"),
                                     member_text(body, "ready"), member_text(body, "lifecycle")}});
    return {exit_code::success,
            fmt::format("{}\n{}\n{}", node, peers_table(body), endpoints_table(body)),
            {}};
}

} // namespace

command_result status_command(const arguments& args, const environment& env) {
    remote_request request;
    request.target = "/v1/status";
    if (auto fault = set_address(request, args, "--operator")) {
        return *fault;
    }
    if (auto fault = add_token(request, args, env)) {
        return *fault;
    }
    return call_node(request, env, status_result);
}

} // namespace dragonflystair::cli
