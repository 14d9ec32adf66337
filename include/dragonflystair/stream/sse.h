#pragma once

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

/// Text of an event, with the blank line that ends it.
std::string render(const sse_event& item);

/// Splits a byte stream into events; bytes may arrive in any pieces.
class sse_reader {
public:
    void feed(std::string_view bytes);

    /// The next complete event. Comments and events without data are skipped.
    std::optional<sse_event> next();

private:
    std::string buffer_;
};

} // namespace dragonflystair::stream
