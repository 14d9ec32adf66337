#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::stream {

struct sse_event {
    std::string id;
    std::string event; ///< Empty for the default type `message`.
    std::string data;
    bool operator==(const sse_event&) const = default;
};

/// Serializes an event, including the blank line that ends it. Line breaks in `id` and `event` are
/// removed, since they would end the field; a line break in `data` starts another data line.
std::string render(const sse_event& event);

/// Incremental parser for a server-sent event stream. Input may be split at any byte, and lines may
/// end in LF, CR LF or CR. Unlike in the standard, an event without an `id` field does not inherit
/// the id of the one before, so that a missing position is detected.
class sse_reader {
public:
    /// Appends input bytes; complete events are then available from `next`.
    void feed(std::string_view bytes);

    /// Returns the next complete event, if any. Comments and events without data are skipped.
    std::optional<sse_event> next();

    /// Returns the number of bytes buffered for the event that is not complete.
    [[nodiscard]] std::size_t buffered_bytes() const {
        return line_.size() + current_.data.size() + current_.id.size() + current_.event.size();
    }

    /// Returns whether the input ends within an event.
    [[nodiscard]] bool inside_event() const { return has_data_ || buffered_bytes() > 0; }

private:
    void end_line();
    void add_field(std::string_view name, std::string_view value);

    std::deque<sse_event> ready_;
    sse_event current_;
    bool has_data_ = false;
    std::string line_;
    bool after_carriage_return_ = false;
};

} // namespace dragonflystair::stream
