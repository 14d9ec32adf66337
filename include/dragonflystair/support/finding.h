#pragma once

#include <string>
#include <vector>

namespace dragonflystair::support {

/// One error in an input file, with its location. Line 0 means the file as a whole.
struct finding {
    std::string file;
    int line = 0;
    std::string message;

    bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

/// Renders a finding as `FILE:LINE: error: MESSAGE`.
std::string to_string(const finding& entry);

/// Renders all findings, one per line, ordered by file and line.
std::string to_string(findings entries);

} // namespace dragonflystair::support
