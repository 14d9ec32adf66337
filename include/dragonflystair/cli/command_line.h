#pragma once

#include "dragonflystair/cli/environment.h"

#include <string>
#include <vector>

namespace dragonflystair::cli {

/// Exit codes of the process.
enum class exit_code {
    success = 0,
    refused = 1,     ///< There are findings, or the node refused.
    usage = 2,       ///< The command line is wrong.
    unreachable = 3, ///< The node cannot be reached, or gave no usable answer.
};

/// What a command leaves for the caller to print.
struct command_result {
    exit_code code = exit_code::success;
    std::string output; ///< For standard output.
    std::string errors; ///< For standard error.
};

/// Runs the command that `arguments` (without the name of the program) ask for.
command_result run(const std::vector<std::string>& arguments, const environment& outside);

} // namespace dragonflystair::cli
