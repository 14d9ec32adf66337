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

/// The node waits until each data centre has reported the revision, which takes 5 s at the design
/// size, and longer while a data centre cannot be reached.
constexpr std::chrono::seconds publish_timeout{60};

bool is_revision(std::string_view text) {
    std::uint64_t revision = 0;
    const auto [end, code] = std::from_chars(text.begin(), text.end(), revision);
    return !text.empty() && code == std::errc{} && end == text.end();
}

/// A header value: it cannot contain control characters.
bool is_author(std::string_view name) {
    return !name.empty() && std::ranges::none_of(name, [](unsigned char item) {
        return item < 0x20 || item == 0x7F;
    });
}

std::string author(const arguments& given, const environment& outside) {
    const auto name = given.text("--author");
    return name.empty() ? outside.variable("USER").value_or("operator") : name;
}

command_result findings_result(const std::string& file, const remote_answer& answer) {
    const auto body = support::json::parse(answer.body, nullptr, false);
    support::findings findings;
    for (const auto& item : member_list(body, "findings")) {
        const auto line = item.is_object() ? item.find("line") : item.end();
        findings.push_back({file,
                            line != item.end() && line->is_number_integer() ? line->get<int>() : 0,
                            member_text(item, "message")});
    }
    return findings.empty() ? refusal(answer)
                            : command_result{exit_code::refused, support::to_string(findings), {}};
}

command_result conflict_result(const remote_answer& answer) {
    const auto body = support::json::parse(answer.body, nullptr, false);
    const auto revision = member_text(body, "revision");
    return {exit_code::refused,
            {},
            fmt::format("error: refused: changed by others since the base: {}\n"
                        "Revision {} is in force. Fetch its text, apply the change to it and "
                        "publish with --base {}.\n",
                        member_text(body, "conflicts"), revision, revision)};
}

command_result accepted_result(const remote_answer& answer) {
    const auto body = support::json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return unusable_answer();
    }
    auto text = fmt::format("Revision     {}\nIn force in  {}\n", member_text(body, "revision"),
                            member_text(body, "in_force"));
    if (!member_list(body, "missing").empty()) {
        text += fmt::format("Missing      {}\n", member_text(body, "missing"));
    }
    return {exit_code::success, text, {}};
}

command_result publish_result(const std::string& file, const remote_answer& answer) {
    switch (answer.status) {
    case 200:
        return accepted_result(answer);
    case 400:
        return findings_result(file, answer);
    case 409:
        return conflict_result(answer);
    default:
        return refusal(answer);
    }
}

} // namespace

command_result publish_command(const arguments& given, const environment& outside) {
    remote_request request;
    const auto base = given.text("--base");
    if (!is_revision(base)) {
        return usage_fault(fmt::format("--base '{}' is not a revision", base));
    }
    if (auto fault = set_address(request, given, "--operator")) {
        return *fault;
    }
    if (auto fault = add_token(request, given, outside)) {
        return *fault;
    }
    const auto name = author(given, outside);
    if (!is_author(name)) {
        return usage_fault("--author is empty or contains control characters");
    }
    const auto file = given.text("FILE");
    auto read = read_file(file);
    if (const auto* failure = std::get_if<read_failure>(&read)) {
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
    return call_node(request, outside,
                     [&](const remote_answer& answer) { return publish_result(file, answer); });
}

} // namespace dragonflystair::cli
