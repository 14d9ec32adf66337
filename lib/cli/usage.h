#pragma once

#include <string>

namespace dragonflystair::cli {

/// Help text in docopt format. docopt derives the command line's grammar from it.
const std::string& help_text();

/// Returns the "Usage:" section of the help text.
std::string usage_patterns();

} // namespace dragonflystair::cli
