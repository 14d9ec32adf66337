#include "dragonflystair/support/json.h"

#include "commands.h"
#include "remote_command.h"
#include "table.h"

namespace dragonflystair::cli {
namespace {

command_result history_result(const remote_response& response) {
    if (response.status != 200) {
        return refused_result(response);
    }
    const auto body = support::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return malformed_response();
    }
    std::vector<std::vector<std::string>> rows{
        {"REVISION", "BASE", "AUTHOR", "RESULT", "CONFLICTS", "SECTIONS"}};
    for (const auto& change : member_list(body, "changes")) {
        const bool accepted = member_list(change, "conflicts").empty();
        rows.push_back({member_text(change, "revision"), member_text(change, "base"),
                        member_text(change, "author"), accepted ? "accepted" : "conflict",
                        member_text(change, "conflicts"), member_text(change, "sections")});
    }
    return {exit_code::success, render_table(rows), {}};
}

} // namespace

command_result history_command(const arguments& args, const environment& env) {
    remote_request request;
    request.target = "/v1/history";
    if (auto fault = set_address(request, args, "--operator")) {
        return *fault;
    }
    if (auto fault = add_token(request, args, env)) {
        return *fault;
    }
    return call_node(request, env, history_result);
}

} // namespace dragonflystair::cli
