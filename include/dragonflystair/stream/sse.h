#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::stream {

/// One server-sent event.
struct sse_event {
    std::string id;
    std::string event; ///< Empty for the default type `message`.
    std::string data;
    bool operator==(const sse_event&) const = default;
};

/// Text of an event, with the blank line that ends it. Line breaks in `id` and `event` are left
/// out, since they would end the field; those in `data` become several data lines.
std::string render(const sse_event& item);

/// Splits a byte stream into events; bytes may arrive in any pieces and lines may end in LF, CR LF
/// or CR. An event carries only the id of its own block, so that a missing position is noticed.
class sse_reader {
public:
    void feed(std::string_view bytes);

    /// The next complete event. Comments and events without data are skipped.
    std::optional<sse_event> next();

    /// Bytes kept of the event that is not complete.
    [[nodiscard]] std::size_t buffered_bytes() const {
        return line_.size() + current_.data.size() + current_.id.size() + current_.event.size();
    }

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
