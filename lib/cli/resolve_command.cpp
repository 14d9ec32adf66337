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
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

command_result resolve_result(const remote_response& response) {
    if (response.status != 200) {
        return refused_result(response);
    }
    const auto body = support::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return malformed_response();
    }
    std::vector<std::vector<std::string>> rows{{"ADDRESS", "DATA CENTRE"}};
    for (const auto& address : member_list(body, "addresses")) {
        rows.push_back({member_text(address, "address"), member_text(address, "data_centre")});
    }
    return {exit_code::success,
            fmt::format("{}\nThe answer may be kept for {} s.\n", render_table(rows),
                        member_text(body, "lifetime_seconds")),
            {}};
}

} // namespace

command_result resolve_command(const arguments& args, const environment& env) {
    remote_request request;
    if (auto fault = set_address(request, args, "--node")) {
        return *fault;
    }
    const auto adapter = args.text("ADAPTER");
    request.target = "/v1/resolve?model=" + percent_encoded(args.text("SERVICE")) +
                     (adapter.empty() ? "" : "/" + percent_encoded(adapter));
    return call_node(request, env, resolve_result);
}

} // namespace dragonflystair::cli
