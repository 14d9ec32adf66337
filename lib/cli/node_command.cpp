#include "dragonflystair/config/settings.h"

#include "commands.h"
#include "file_text.h"

#include <fmt/format.h>

#include <exception>

namespace dragonflystair::cli {

command_result node_command(const arguments& given, const environment& outside) {
    const auto path = given.text("--settings");
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_failure>(&read)) {
        return {exit_code::refused,
                support::to_string({{path, 0, "cannot be read: " + failure->reason}}),
                {}};
    }
    const auto parsed = config::parse_settings(std::get<std::string>(read), path);
    if (!parsed.findings.empty()) {
        return {exit_code::refused, support::to_string(parsed.findings), {}};
    }
    try {
        return {
            outside.run_node(parsed.values) == 0 ? exit_code::success : exit_code::refused, {}, {}};
    } catch (const std::exception& failure) {
        return {exit_code::refused,
                {},
                fmt::format("error: the node cannot start: {}\n", failure.what())};
    }
}

} // namespace dragonflystair::cli
