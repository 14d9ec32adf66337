#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace dragonflystair::cli {

/// Parsed command line: commands, positional arguments and options, keyed by their names in the
/// usage text.
class arguments {
public:
    explicit arguments(std::map<std::string, docopt::value> values) : values_(std::move(values)) {}

    /// Returns true if the command was given.
    [[nodiscard]] bool has(const std::string& command) const;
    /// Returns the value of a positional argument or option, or an empty string if it was not
    /// given.
    [[nodiscard]] std::string text(const std::string& name) const;

private:
    std::map<std::string, docopt::value> values_;
};

} // namespace dragonflystair::cli
