#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::support {

/// Key and value of one field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Writes one line of `key=value` fields to standard output: wall-clock time in UTC, the event, and
/// `fields`. For changes of the state of the process. Lines are enqueued and written by a separate
/// thread. If the reader of standard output does not keep up, the oldest lines are dropped and
/// counted.
void log_change(std::string_view event, std::initializer_list<log_field> fields = {});

/// Like `log_change`, but for decisions on single requests: writes at most
/// `max_request_lines_per_second`. Further lines are dropped and counted, and their number is
/// written with the event `log_dropped`.
void log_request(std::string_view event, std::initializer_list<log_field> fields);

/// Enough for one line per call of a node at four times its share of the peak load at the design
/// size.
inline constexpr std::uint64_t max_request_lines_per_second = 400;

/// Returns the number of lines dropped since the start, by the queue and by the rate limit.
std::uint64_t dropped_log_lines();

} // namespace dragonflystair::support
