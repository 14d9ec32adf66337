#pragma once

#include "dragonflystair/cli/environment.h"

#include <string>
#include <vector>

namespace dragonflystair::cli {

/// Exit codes of the process.
enum class exit_code {
    success = 0,
    refused = 1,     ///< There are findings that are errors, or the node refused.
    usage = 2,       ///< The command line is wrong.
    unreachable = 3, ///< The node cannot be reached, or sent no usable response.
    different = 4,   ///< No findings, but the file differs from the version in force.
    warnings = 5,    ///< All findings are warnings.
};

/// Exit code and output of a command; the caller of `run` prints the texts.
struct command_result {
    exit_code code = exit_code::success;
    std::string output; ///< For standard output.
    std::string errors; ///< For standard error.
};

/// Parses `arguments` (without the program name) and runs the selected command.
command_result run(const std::vector<std::string>& arguments, const environment& env);

} // namespace dragonflystair::cli
