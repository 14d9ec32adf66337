#include "dragonflystair/support/json.h"

#include "commands.h"
#include "remote_command.h"
#include "table.h"

#include <fmt/format.h>

namespace dragonflystair::cli {
namespace {

std::string percent_encoded(std::string_view text) {
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                            "0123456789-._~/@";
    std::string encoded;
    for (const char item : text) {
        if (unreserved.find(item) != std::string_view::npos) {
            encoded += item;
            continue;
        }
        encoded += fmt::format("%{:02X}", static_cast<unsigned char>(item));
    }
    return encoded;
}

command_result resolve_result(const remote_answer& answer) {
    if (answer.status != 200) {
        return refusal(answer);
    }
    const auto body = support::json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return unusable_answer();
    }
    std::vector<std::vector<std::string>> rows{{"ADDRESS", "DATA CENTRE"}};
    for (const auto& item : member_list(body, "addresses")) {
        rows.push_back({member_text(item, "address"), member_text(item, "data_centre")});
    }
    return {exit_code::success,
            fmt::format("{}\nThe answer may be kept for {} s.\n", render_table(rows),
                        member_text(body, "lifetime_seconds")),
            {}};
}

} // namespace

command_result resolve_command(const arguments& given, const environment& outside) {
    remote_request request;
    if (auto fault = set_address(request, given, "--node")) {
        return *fault;
    }
    const auto adapter = given.text("ADAPTER");
    request.target = "/v1/resolve?model=" + percent_encoded(given.text("SERVICE")) +
                     (adapter.empty() ? "" : "/" + percent_encoded(adapter));
    return call_node(request, outside, resolve_result);
}

} // namespace dragonflystair::cli
