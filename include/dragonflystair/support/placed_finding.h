#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::support {

enum class severity {
    warning, ///< The file can be used, but an entry has no effect or is probably not intended.
    error,   ///< Part of the file is not used, or calls are refused because of it.
};

/// Something to correct in a configuration. In contrast to a `finding`, it may be a warning, and
/// its place may be a JSON path.
struct placed_finding {
    severity level = severity::error;
    std::string place; ///< Line, JSON path such as `routes[3].timeout-ms`, or `0` for the file.
    std::string message;

    bool operator==(const placed_finding&) const = default;
};

using placed_findings = std::vector<placed_finding>;

/// Renders findings as `FILE:PLACE: LEVEL: MESSAGE`, one per line, in their order.
std::string to_string(std::span<const placed_finding> entries, std::string_view file);

} // namespace dragonflystair::support
