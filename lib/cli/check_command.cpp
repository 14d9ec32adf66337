#include "dragonflystair/config/address.h"
#include "dragonflystair/config/deployment.h"
#include "dragonflystair/config/deployment_check.h"
#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/config/settings.h"
#include "dragonflystair/fleet/configuration_difference.h"
#include "dragonflystair/support/placed_finding.h"

#include "commands.h"
#include "file_text.h"
#include "platform/configuration_check.h"
#include "remote_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflystair::cli {
namespace {

using support::severity;

enum class file_form { json, text, settings };

/// Content of a file of any form, with its findings.
struct checked_file {
    file_form form = file_form::text;
    support::placed_findings findings;
    std::optional<fleet::configuration> configuration; ///< For the form `json`, if decoded.
    config::section_map sections;                      ///< For the form `text`.
};

checked_file settings_file(const support::findings& findings) {
    checked_file out{file_form::settings, {}, {}, {}};
    for (const auto& entry : findings) {
        out.findings.push_back({severity::error, fmt::format("{}", entry.line), entry.message});
    }
    return out;
}

checked_file check_content(const std::string& content) {
    if (platform::is_configuration(content)) {
        auto checked = platform::check_configuration(content);
        return {file_form::json, std::move(checked.findings), std::move(checked.values), {}};
    }
    if (config::has_gateway_settings(content)) {
        return settings_file(config::parse_gateway_settings(content, {}).findings);
    }
    if (config::has_settings(content)) {
        return settings_file(config::parse_settings(content, {}).findings);
    }
    auto checked = config::check_deployment(content);
    return {file_form::text, std::move(checked.findings), {}, std::move(checked.sections)};
}

command_result unreadable(const std::string& path, const std::string& reason) {
    const support::placed_findings findings{{severity::error, "0", reason}};
    return {exit_code::refused, support::to_string(findings, path), {}};
}

exit_code code_of(const support::placed_findings& findings, bool different) {
    const auto is_error = [](const auto& entry) { return entry.level == severity::error; };
    if (std::ranges::any_of(findings, is_error)) {
        return exit_code::refused;
    }
    if (!findings.empty()) {
        return exit_code::warnings;
    }
    return different ? exit_code::different : exit_code::success;
}

/// Adds how a file differs from the version in force to the result, which has the file's findings.
command_result with_differences(command_result result, const checked_file& file,
                                const std::string& content, const std::string& source) {
    const auto in_force = check_content(content);
    if (in_force.form != file.form && !content.empty()) {
        return usage_error(fmt::format("FILE and --against '{}' have different forms", source));
    }
    // Before the first publication the text in force is empty.
    const bool comparable = file.form == file_form::json
                                ? in_force.configuration.has_value()
                                : content.empty() || !in_force.sections.empty();
    if (!comparable) {
        auto failure = unreadable(source, "cannot be read as a configuration to compare with");
        failure.output.insert(0, result.output);
        return failure;
    }
    if (file.form == file_form::json && !file.configuration) {
        return result;
    }
    const auto lines = file.form == file_form::json
                           ? fleet::differences(*in_force.configuration, *file.configuration)
                           : config::differences(in_force.sections, file.sections);
    for (const auto& line : lines) {
        result.output += line;
        result.output += '\n';
    }
    result.code = code_of(file.findings, !lines.empty());
    return result;
}

command_result compare_with_node(command_result result, const checked_file& file,
                                 const arguments& args, const environment& env) {
    if (file.form != file_form::text) {
        return usage_error("nodes serve the operators' text only; compare a JSON configuration "
                           "with a file");
    }
    remote_request request;
    request.target = "/v1/text";
    if (auto fault = set_address(request, args, "--against")) {
        return *fault;
    }
    if (auto fault = add_token(request, args, env)) {
        return *fault;
    }
    auto compared = call_node(request, env, [&](const remote_response& response) {
        return response.status == 200
                   ? with_differences(result, file, response.body, request.address)
                   : refused_result(response);
    });
    if (compared.output.empty()) {
        // The findings are complete even if the node gives no text to compare with.
        compared.output = std::move(result.output);
    }
    return compared;
}

command_result compare(command_result result, const checked_file& file, const arguments& args,
                       const environment& env) {
    if (file.form == file_form::settings) {
        return usage_error("--against compares configurations, not settings");
    }
    const auto source = args.text("--against");
    if (config::address_error(source).empty()) {
        return compare_with_node(std::move(result), file, args, env);
    }
    const auto read = read_file(source);
    if (const auto* failure = std::get_if<read_error>(&read)) {
        auto unread = unreadable(source, "cannot be read: " + failure->reason);
        unread.output.insert(0, result.output);
        return unread;
    }
    return with_differences(std::move(result), file, std::get<std::string>(read), source);
}

} // namespace

command_result check_command(const arguments& args, const environment& env) {
    const auto path = args.text("FILE");
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_error>(&read)) {
        return unreadable(path, "cannot be read: " + failure->reason);
    }
    const auto file = check_content(std::get<std::string>(read));
    command_result result{
        code_of(file.findings, false), support::to_string(file.findings, path), {}};
    return args.text("--against").empty() ? result : compare(std::move(result), file, args, env);
}

} // namespace dragonflystair::cli
