#pragma once

#include "dragonflystair/cli/command_line.h"

#include "arguments.h"

namespace dragonflystair::cli {

/// Implementations of the commands in the usage text. Network calls, processes and environment
/// variables are accessed through `env` only.
command_result node_command(const arguments& args, const environment& env);
command_result gateway_command(const arguments& args, const environment& env);
command_result check_command(const arguments& args, const environment& env);
command_result publish_command(const arguments& args, const environment& env);
command_result status_command(const arguments& args, const environment& env);
command_result history_command(const arguments& args, const environment& env);
command_result resolve_command(const arguments& args, const environment& env);

} // namespace dragonflystair::cli
