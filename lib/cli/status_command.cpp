#include "dragonflystair/support/json.h"

#include "commands.h"
#include "remote_command.h"
#include "table.h"

#include <fmt/format.h>

namespace dragonflystair::cli {
namespace {

std::string peers_table(const support::json& body) {
    std::vector<std::vector<std::string>> rows{{"PEER", "DATA CENTRE", "REVISION"}};
    for (const auto& item : member_list(body, "peers")) {
        rows.push_back({member_text(item, "node"), member_text(item, "data_centre"),
                        member_text(item, "revision")});
    }
    return render_table(rows);
}

std::string endpoints_table(const support::json& body) {
    std::vector<std::vector<std::string>> rows{
        {"ENDPOINT", "SERVICE", "DATA CENTRE", "STATE", "OWNER", "RUNNING", "QUEUED", "RESIDENT"}};
    for (const auto& item : member_list(body, "endpoints")) {
        rows.push_back({member_text(item, "id"), member_text(item, "service"),
                        member_text(item, "data_centre"), member_text(item, "state"),
                        member_text(item, "owner"), member_text(item, "running"),
                        member_text(item, "queued"), member_text(item, "resident")});
    }
    return render_table(rows);
}

command_result status_result(const remote_answer& answer) {
    if (answer.status != 200) {
        return refusal(answer);
    }
    const auto body = support::json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return unusable_answer();
    }
    const auto node = render_table({{"NODE", "REVISION", "READY", "LIFECYCLE"},
                                    {member_text(body, "node"), member_text(body, "revision"),
                                     member_text(body, "ready"), member_text(body, "lifecycle")}});
    return {exit_code::success,
            fmt::format("{}\n{}\n{}", node, peers_table(body), endpoints_table(body)),
            {}};
}

} // namespace

command_result status_command(const arguments& given, const environment& outside) {
    remote_request request;
    request.target = "/v1/status";
    if (auto fault = set_address(request, given, "--operator")) {
        return *fault;
    }
    if (auto fault = add_token(request, given, outside)) {
        return *fault;
    }
    return call_node(request, outside, status_result);
}

} // namespace dragonflystair::cli
