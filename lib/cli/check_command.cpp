#include "dragonflystair/config/deployment.h"
#include "dragonflystair/config/gateway_settings.h"
#include "dragonflystair/config/settings.h"

#include "commands.h"
#include "file_text.h"

namespace dragonflystair::cli {
namespace {

support::findings check_file(const std::string& path) {
    const auto read = read_file(path);
    if (const auto* failure = std::get_if<read_error>(&read)) {
        return {{path, 0, "cannot be read: " + failure->reason}};
    }
    const auto& text = std::get<std::string>(read);
    if (config::has_gateway_settings(text)) {
        return config::parse_gateway_settings(text, path).findings;
    }
    return config::has_settings(text) ? config::parse_settings(text, path).findings
                                      : config::parse_deployment(text, path).findings;
}

} // namespace

command_result check_command(const arguments& args) {
    const auto findings = check_file(args.text("FILE"));
    return {findings.empty() ? exit_code::success : exit_code::refused,
            support::to_string(findings),
            {}};
}

} // namespace dragonflystair::cli
