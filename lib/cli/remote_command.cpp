#include "remote_command.h"

#include "dragonflystair/config/address.h"
#include "dragonflystair/support/json.h"

#include "file_text.h"

#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace dragonflystair::cli {
namespace {

constexpr const char* token_variable = "DRAGONFLYSTAIR_TOKEN";

bool is_valid_token(std::string_view token) {
    return !token.empty() && std::ranges::all_of(token, [](char c) { return c > ' ' && c < 0x7F; });
}

/// Describes a failed call. `unknown` has its own text because the node may have applied a
/// publication even though its response was lost.
std::string describe(const support::error& failure, const remote_request& request) {
    if (failure.kind != support::error_kind::unknown) {
        return fmt::format("error: {} cannot be reached: {}\n", request.address, failure.message);
    }
    const auto* effect =
        request.method == "POST" ? ", so it may have taken effect; see history" : "";
    return fmt::format("error: {} received the request but sent no complete response{}: {}\n",
                       request.address, effect, failure.message);
}

} // namespace

command_result usage_error(std::string_view message) {
    return {exit_code::usage, {}, fmt::format("error: {}\n", message)};
}

std::optional<command_result> set_address(remote_request& request, const arguments& args,
                                          const std::string& option) {
    request.address = args.text(option);
    const auto fault = config::address_error(request.address);
    if (fault.empty()) {
        return std::nullopt;
    }
    return usage_error(fmt::format("{} '{}' is not IP:PORT: {}", option, request.address, fault));
}

std::optional<command_result> add_token(remote_request& request, const arguments& args,
                                        const environment& env) {
    std::string token;
    if (const auto path = args.text("--token-file"); !path.empty()) {
        const auto read = read_file(path);
        if (const auto* failure = std::get_if<read_error>(&read)) {
            return usage_error(
                fmt::format("token file '{}' cannot be read: {}", path, failure->reason));
        }
        token = boost::algorithm::trim_copy(std::get<std::string>(read));
    } else {
        token = env.variable(token_variable).value_or("");
    }
    if (!is_valid_token(token)) {
        return usage_error(
            fmt::format("no usable operator token: give --token-file or set {}", token_variable));
    }
    request.headers.emplace_back("Authorization", "Bearer " + token);
    return std::nullopt;
}

command_result call_node(const remote_request& request, const environment& env,
                         const response_handler& handle_response) {
    const auto response = env.call(request);
    if (!response) {
        return {exit_code::unreachable, {}, describe(response.error(), request)};
    }
    return handle_response(response.value());
}

command_result refused_result(const remote_response& response) {
    if (response.status == 401) {
        return {exit_code::refused, {}, "error: refused: the operator token is not valid\n"};
    }
    const auto body = support::json::parse(response.body, nullptr, false);
    const auto detail = body.is_object() && body.contains("detail") && body["detail"].is_string()
                            ? ": " + body["detail"].get<std::string>()
                            : std::string();
    const auto retry = response.retry_after.empty()
                           ? std::string()
                           : fmt::format(", retry after {} s", response.retry_after);
    return {exit_code::refused,
            {},
            fmt::format("error: refused with status {}{}{}\n", response.status, detail, retry)};
}

command_result malformed_response() {
    return {exit_code::unreachable, {}, "error: the node sent a malformed response\n"};
}

} // namespace dragonflystair::cli
