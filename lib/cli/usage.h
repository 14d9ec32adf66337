#pragma once

#include <string>

namespace dragonflystair::cli {

/// The help in docopt's form; the command line is parsed by it.
const std::string& help_text();

/// The usage patterns of the help.
std::string usage_patterns();

} // namespace dragonflystair::cli
