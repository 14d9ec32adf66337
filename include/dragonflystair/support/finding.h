#pragma once

#include <string>
#include <vector>

namespace dragonflystair::support {

/// One fault in an input, with its place. Line 0 means the file as a whole.
struct finding {
    std::string file;
    int line = 0;
    std::string message;

    bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

/// Renders a finding as `FILE:LINE: error: MESSAGE`.
std::string to_string(const finding& item);

/// Renders all findings, one line each, in the order of file and line.
std::string to_string(findings items);

} // namespace dragonflystair::support
