#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::support {

/// One field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Writes one `key=value` line to standard output: wall-clock time in UTC, the event, the fields.
/// For changes of what the process believes or does. Lines go through a queue and are written by a
/// thread of their own; when the reader does not keep up, the oldest are dropped and counted.
void log_change(std::string_view event, std::initializer_list<log_field> fields = {});

/// As `log_change`, for decisions on single requests: at most `max_request_lines` a second, the
/// others are counted and their number is written as event `log_dropped`.
void log_request(std::string_view event, std::initializer_list<log_field> fields);

/// Enough for every call of one node at four times its share of the design size's peak.
inline constexpr std::uint64_t max_request_lines = 400;

/// Lines that were dropped since the start, for either reason.
std::uint64_t dropped_log_lines();

} // namespace dragonflystair::support
