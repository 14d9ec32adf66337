#include "dragonflystair/support/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace dragonflystair::support {

namespace {

/// Quotes a value that holds blanks or quotes, so that a line can be split at blanks.
std::string quoted(std::string_view value) {
    if (!value.empty() && value.find_first_of(" \"\\\n\t=") == std::string_view::npos) {
        return std::string(value);
    }
    return fmt::format("{:?}", value);
}

} // namespace

void log_change(std::string_view event, std::initializer_list<log_field> fields) {
    const auto now = std::chrono::system_clock::now();
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
        1000;
    std::string line =
        fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={}",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis, event);
    for (const auto& [key, value] : fields) {
        line += fmt::format(" {}={}", key, quoted(value));
    }
    fmt::print(stderr, "{}\n", line);
}

} // namespace dragonflystair::support
