#include "dragonflystair/cli/command_line.h"

#include "arguments.h"
#include "commands.h"
#include "usage.h"

namespace dragonflystair::cli {
namespace {

command_result dispatch(const arguments& given, const environment& outside) {
    if (given.has("node")) {
        return node_command(given, outside);
    }
    if (given.has("gateway")) {
        return gateway_command(given, outside);
    }
    if (given.has("check")) {
        return check_command(given);
    }
    if (given.has("publish")) {
        return publish_command(given, outside);
    }
    if (given.has("status")) {
        return status_command(given, outside);
    }
    if (given.has("history")) {
        return history_command(given, outside);
    }
    return resolve_command(given, outside);
}

} // namespace

command_result run(const std::vector<std::string>& arguments_given, const environment& outside) {
    try {
        return dispatch(arguments(docopt::docopt_parse(help_text(), arguments_given)), outside);
    } catch (const docopt::DocoptExitHelp&) {
        return {exit_code::success, help_text(), {}};
    } catch (const docopt::DocoptExitVersion&) {
        return {exit_code::success, "dragonflystair " DRAGONFLYSTAIR_VERSION "\n", {}};
    } catch (const docopt::DocoptArgumentError&) {
        return {exit_code::usage, {}, usage_patterns()};
    }
}

} // namespace dragonflystair::cli
