#include "dragonflystair/support/json.h"

#include "commands.h"
#include "file_text.h"
#include "remote_command.h"
#include "table.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace dragonflystair::cli {
namespace {

/// The node responds after every data centre has reported the revision, which takes 5 s at the
/// design size and longer while a data centre is unreachable.
constexpr std::chrono::seconds publish_timeout{60};

bool is_valid_revision(std::string_view text) {
    std::uint64_t revision = 0;
    const auto [end, code] = std::from_chars(text.begin(), text.end(), revision);
    return !text.empty() && code == std::errc{} && end == text.end();
}

/// The author is sent as a header value, which must not contain control characters.
bool is_valid_author(std::string_view name) {
    return !name.empty() &&
           std::ranges::none_of(name, [](unsigned char c) { return c < 0x20 || c == 0x7F; });
}

std::string author(const arguments& args, const environment& env) {
    const auto name = args.text("--author");
    return name.empty() ? env.variable("USER").value_or("operator") : name;
}

command_result findings_result(const std::string& file, const remote_response& response) {
    const auto body = support::json::parse(response.body, nullptr, false);
    support::findings findings;
    for (const auto& finding : member_list(body, "findings")) {
        const auto line = finding.is_object() ? finding.find("line") : finding.end();
        findings.push_back(
            {file, line != finding.end() && line->is_number_integer() ? line->get<int>() : 0,
             member_text(finding, "message")});
    }
    return findings.empty() ? refused_result(response)
                            : command_result{exit_code::refused, support::to_string(findings), {}};
}

command_result conflict_result(const remote_response& response) {
    const auto body = support::json::parse(response.body, nullptr, false);
    const auto revision = member_text(body, "revision");
    return {exit_code::refused,
            {},
            fmt::format("error: refused: changed by others since the base: {}\n"
                        "Revision {} is in force. Fetch its text, apply the change to it and "
                        "publish with --base {}.\n",
                        member_text(body, "conflicts"), revision, revision)};
}

command_result accepted_result(const remote_response& response) {
    const auto body = support::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return malformed_response();
    }
    auto text = fmt::format("Revision     {}\nIn force in  {}\n", member_text(body, "revision"),
                            member_text(body, "in_force"));
    if (!member_list(body, "missing").empty()) {
        text += fmt::format("Missing      {}\n", member_text(body, "missing"));
    }
    return {exit_code::success, text, {}};
}

command_result publish_result(const std::string& file, const remote_response& response) {
    switch (response.status) {
    case 200:
        return accepted_result(response);
    case 400:
        return findings_result(file, response);
    case 409:
        return conflict_result(response);
    default:
        return refused_result(response);
    }
}

} // namespace

command_result publish_command(const arguments& args, const environment& env) {
    remote_request request;
    const auto base = args.text("--base");
    if (!is_valid_revision(base)) {
        return usage_error(fmt::format("--base '{}' is not a revision", base));
    }
    if (auto fault = set_address(request, args, "--operator")) {
        return *fault;
    }
    if (auto fault = add_token(request, args, env)) {
        return *fault;
    }
    const auto name = author(args, env);
    if (!is_valid_author(name)) {
        return usage_error("--author is empty or contains control characters");
    }
    const auto file = args.text("FILE");
    auto read = read_file(file);
    if (const auto* failure = std::get_if<read_error>(&read)) {
        return {exit_code::refused,
                support::to_string({{file, 0, "cannot be read: " + failure->reason}}),
                {}};
    }
    request.method = "POST";
    request.target = "/v1/publish?base=" + base;
    request.headers.emplace_back("X-Author", name);
    request.headers.emplace_back("Content-Type", "text/plain; charset=utf-8");
    request.body = std::get<std::string>(std::move(read));
    request.timeout = publish_timeout;
    return call_node(request, env, [&](const remote_response& response) {
        return publish_result(file, response);
    });
}

} // namespace dragonflystair::cli
