#include "dragonflystair/support/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <chrono>
#include <iterator>
#include <memory>

namespace dragonflystair::support {

namespace {

/// Maximum number of lines that wait for the writing thread: enough for one second of requests and
/// state changes.
constexpr std::size_t max_queued_lines = 1'024;

/// The queue, its writing thread and the sink. The destructor writes the queued lines.
struct log_output {
    std::shared_ptr<spdlog::details::thread_pool> pool =
        std::make_shared<spdlog::details::thread_pool>(max_queued_lines, 1);
    std::shared_ptr<spdlog::async_logger> logger = std::make_shared<spdlog::async_logger>(
        "dragonflystair", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool,
        spdlog::async_overflow_policy::overrun_oldest);

    log_output() { logger->set_pattern("%v"); }
};

log_output& output() {
    static log_output instance;
    return instance;
}

std::atomic<std::uint64_t> dropped_request_lines{0};

/// Rate limiter: counts the lines of the current second and returns whether one more may be
/// written.
bool admit_request_line() {
    using clock = std::chrono::steady_clock;
    static std::atomic<std::int64_t> second{0};
    static std::atomic<std::uint64_t> lines{0};
    const auto now =
        std::chrono::duration_cast<std::chrono::seconds>(clock::now().time_since_epoch()).count();
    if (second.exchange(now) != now) {
        lines = 0;
    }
    if (lines.fetch_add(1) < max_request_lines_per_second) {
        return true;
    }
    ++dropped_request_lines;
    return false;
}

/// Appends a value, quoted if it is empty or contains white space, quotes, backslashes or `=`, so
/// that a line can be split at blanks.
void append_value(std::string& line, std::string_view value) {
    if (!value.empty() && value.find_first_of(" \"\\\n\t=") == std::string_view::npos) {
        line += value;
        return;
    }
    fmt::format_to(std::back_inserter(line), "{:?}", value);
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
        line += ' ';
        line += key;
        line += '=';
        append_value(line, value);
    }
    output().logger->info(line);
}

void log_request(std::string_view event, std::initializer_list<log_field> fields) {
    static std::atomic<std::uint64_t> reported{0};
    if (!admit_request_line()) {
        return;
    }
    const auto dropped = dropped_request_lines.load();
    if (const auto before = reported.exchange(dropped); before != dropped) {
        log_change("log_dropped", {{"lines", std::to_string(dropped - before)}});
    }
    log_change(event, fields);
}

std::uint64_t dropped_log_lines() {
    return dropped_request_lines + output().pool->overrun_counter();
}

} // namespace dragonflystair::support
