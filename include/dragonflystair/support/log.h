#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::support {

/// One field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Writes one `key=value` line to standard error: wall-clock time in UTC, the event, the fields.
/// Meant for changes of state only; what happens per request is counted instead.
void log_change(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace dragonflystair::support
