#pragma once

#include <string>
#include <variant>

namespace dragonflystair::cli {

/// Why a file cannot be read.
struct read_failure {
    std::string reason;
};

/// The whole text of a file.
std::variant<std::string, read_failure> read_file(const std::string& path);

} // namespace dragonflystair::cli
