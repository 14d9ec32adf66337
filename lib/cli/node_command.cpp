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

/// Reads and validates the settings file, then runs the process that it describes until it stops.
template <class Parse, class Run>
command_result run_with_settings(const arguments& args, const Parse& parse,
                                 const Run& run_process) {
    const auto path = args.text("--settings");
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_error>(&read)) {
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

/// Rereads the settings of a running gateway. Returns nullopt and logs the reason if the file is
/// unreadable or has findings.
std::optional<config::gateway_settings> reload_settings(const std::string& path) {
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_error>(&read)) {
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

command_result node_command(const arguments& args, const environment& env) {
    return run_with_settings(args, config::parse_settings, env.run_node);
}

command_result gateway_command(const arguments& args, const environment& env) {
    const auto path = args.text("--settings");
    const auto reload = [path] { return reload_settings(path); };
    return run_with_settings(
        args, config::parse_gateway_settings,
        [&](const config::gateway_settings& values) { return env.run_gateway(values, reload); });
}

} // namespace dragonflystair::cli
