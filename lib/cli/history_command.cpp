#include "dragonflystair/support/json.h"

#include "commands.h"
#include "remote_command.h"
#include "table.h"

namespace dragonflystair::cli {
namespace {

command_result history_result(const remote_answer& answer) {
    if (answer.status != 200) {
        return refusal(answer);
    }
    const auto body = support::json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return unusable_answer();
    }
    std::vector<std::vector<std::string>> rows{
        {"REVISION", "BASE", "AUTHOR", "RESULT", "CONFLICTS", "SECTIONS"}};
    for (const auto& item : member_list(body, "changes")) {
        const bool accepted = member_list(item, "conflicts").empty();
        rows.push_back({member_text(item, "revision"), member_text(item, "base"),
                        member_text(item, "author"), accepted ? "accepted" : "conflict",
                        member_text(item, "conflicts"), member_text(item, "sections")});
    }
    return {exit_code::success, render_table(rows), {}};
}

} // namespace

command_result history_command(const arguments& given, const environment& outside) {
    remote_request request;
    request.target = "/v1/history";
    if (auto fault = set_address(request, given, "--operator")) {
        return *fault;
    }
    if (auto fault = add_token(request, given, outside)) {
        return *fault;
    }
    return call_node(request, outside, history_result);
}

} // namespace dragonflystair::cli
