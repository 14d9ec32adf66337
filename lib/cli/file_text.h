#pragma once

#include <string>
#include <variant>

namespace dragonflystair::cli {

/// Reason why a file cannot be read, as reported by the operating system.
struct read_error {
    std::string reason;
};

/// Reads a whole file into memory.
std::variant<std::string, read_error> read_file(const std::string& path);

} // namespace dragonflystair::cli
