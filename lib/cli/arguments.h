#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace dragonflystair::cli {

/// Words and options of a parsed command line, by their names in the usage.
class arguments {
public:
    explicit arguments(std::map<std::string, docopt::value> values) : values_(std::move(values)) {}

    /// Whether a command was given.
    [[nodiscard]] bool has(const std::string& command) const;
    /// Value of a word or option; empty if it was not given.
    [[nodiscard]] std::string text(const std::string& name) const;

private:
    std::map<std::string, docopt::value> values_;
};

} // namespace dragonflystair::cli
