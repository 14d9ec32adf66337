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

bool is_token(std::string_view token) {
    return !token.empty() &&
           std::ranges::all_of(token, [](char item) { return item > ' ' && item < 0x7F; });
}

/// Text of the failure; `unknown` is told apart since a publication may be in force all the same.
std::string describe(const support::error& failure, const remote_request& request) {
    if (failure.kind != support::error_kind::unknown) {
        return fmt::format("error: {} cannot be reached: {}\n", request.address, failure.message);
    }
    const auto* effect =
        request.method == "POST" ? ", so it may have taken effect; see history" : "";
    return fmt::format("error: {} got the request but gave no whole answer{}: {}\n",
                       request.address, effect, failure.message);
}

} // namespace

command_result usage_fault(std::string_view message) {
    return {exit_code::usage, {}, fmt::format("error: {}\n", message)};
}

std::optional<command_result> set_address(remote_request& request, const arguments& given,
                                          const std::string& option) {
    request.address = given.text(option);
    const auto fault = config::address_error(request.address);
    if (fault.empty()) {
        return std::nullopt;
    }
    return usage_fault(fmt::format("{} '{}' is not IP:PORT: {}", option, request.address, fault));
}

std::optional<command_result> add_token(remote_request& request, const arguments& given,
                                        const environment& outside) {
    std::string token;
    if (const auto path = given.text("--token-file"); !path.empty()) {
        const auto read = read_file(path);
        if (const auto* failure = std::get_if<read_failure>(&read)) {
            return usage_fault(
                fmt::format("token file '{}' cannot be read: {}", path, failure->reason));
        }
        token = boost::algorithm::trim_copy(std::get<std::string>(read));
    } else {
        token = outside.variable(token_variable).value_or("");
    }
    if (!is_token(token)) {
        return usage_fault(
            fmt::format("no usable operator token: give --token-file or set {}", token_variable));
    }
    request.headers.emplace_back("Authorization", "Bearer " + token);
    return std::nullopt;
}

command_result call_node(const remote_request& request, const environment& outside,
                         const answer_reader& read_answer) {
    const auto answer = outside.call(request);
    if (!answer) {
        return {exit_code::unreachable, {}, describe(answer.error(), request)};
    }
    return read_answer(answer.value());
}

command_result refusal(const remote_answer& answer) {
    if (answer.status == 401) {
        return {exit_code::refused, {}, "error: refused: the operator token is not valid\n"};
    }
    const auto body = support::json::parse(answer.body, nullptr, false);
    const auto detail = body.is_object() && body.contains("detail") && body["detail"].is_string()
                            ? ": " + body["detail"].get<std::string>()
                            : std::string();
    const auto retry = answer.retry_after.empty()
                           ? std::string()
                           : fmt::format(", retry after {} s", answer.retry_after);
    return {exit_code::refused,
            {},
            fmt::format("error: refused with status {}{}{}\n", answer.status, detail, retry)};
}

command_result unusable_answer() {
    return {exit_code::unreachable, {}, "error: the answer of the node cannot be understood\n"};
}

} // namespace dragonflystair::cli
