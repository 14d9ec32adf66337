#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/config/settings.h"
#include "dragonflystair/support/log.h"

#include "commands.h"
#include "file_text.h"

#include <fmt/format.h>

#include <exception>
#include <optional>
#include <string>

namespace dragonflystair::cli {

namespace {

/// Reads and checks the settings, then runs the process that they describe until it has stopped.
template <class Parse, class Run>
command_result run_with_settings(const arguments& given, const Parse& parse,
                                 const Run& run_process) {
    const auto path = given.text("--settings");
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_failure>(&read)) {
        return {exit_code::refused,
                support::to_string({{path, 0, "cannot be read: " + failure->reason}}),
                {}};
    }
    const auto parsed = parse(std::get<std::string>(read), path);
    if (!parsed.findings.empty()) {
        return {exit_code::refused, support::to_string(parsed.findings), {}};
    }
    try {
        return {run_process(parsed.values) == 0 ? exit_code::success : exit_code::refused, {}, {}};
    } catch (const std::exception& failure) {
        return {exit_code::refused,
                {},
                fmt::format("error: the node cannot start: {}\n", failure.what())};
    }
}

/// Settings of a running gateway, read again; findings go to the log.
std::optional<config::gateway_settings> reread(const std::string& path) {
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_failure>(&read)) {
        support::log_change("settings_unreadable", {{"file", path}, {"why", failure->reason}});
        return std::nullopt;
    }
    auto parsed = config::parse_gateway_settings(std::get<std::string>(read), path);
    if (!parsed.findings.empty()) {
        support::log_change("settings_refused",
                            {{"findings", support::to_string(parsed.findings)}});
        return std::nullopt;
    }
    return std::move(parsed.values);
}

} // namespace

command_result node_command(const arguments& given, const environment& outside) {
    return run_with_settings(given, config::parse_settings, outside.run_node);
}

command_result gateway_command(const arguments& given, const environment& outside) {
    const auto path = given.text("--settings");
    const auto reload = [path] { return reread(path); };
    return run_with_settings(given, config::parse_gateway_settings,
                             [&](const config::gateway_settings& values) {
                                 return outside.run_gateway(values, reload);
                             });
}

} // namespace dragonflystair::cli
