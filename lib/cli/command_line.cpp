#include "dragonflystair/cli/command_line.h"

#include "arguments.h"
#include "commands.h"
#include "usage.h"

namespace dragonflystair::cli {
namespace {

command_result dispatch(const arguments& args, const environment& env) {
    if (args.has("node")) {
        return node_command(args, env);
    }
    if (args.has("gateway")) {
        return gateway_command(args, env);
    }
    if (args.has("check")) {
        return check_command(args, env);
    }
    if (args.has("publish")) {
        return publish_command(args, env);
    }
    if (args.has("status")) {
        return status_command(args, env);
    }
    if (args.has("history")) {
        return history_command(args, env);
    }
    return resolve_command(args, env);
}

} // namespace

command_result run(const std::vector<std::string>& args, const environment& env) {
    try {
        return dispatch(arguments(docopt::docopt_parse(help_text(), args)), env);
    } catch (const docopt::DocoptExitHelp&) {
        return {exit_code::success, help_text(), {}};
    } catch (const docopt::DocoptExitVersion&) {
        return {exit_code::success, "dragonflystair " DRAGONFLYSTAIR_VERSION "\n", {}};
    } catch (const docopt::DocoptArgumentError&) {
        return {exit_code::usage, {}, usage_patterns()};
    }
}

} // namespace dragonflystair::cli
