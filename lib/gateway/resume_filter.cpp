#include "resume_filter.h"

#include <utility>

namespace dragonflystair::gateway {

namespace {

/// Returns the id of the last event that has one in a text of complete events; empty if none has.
std::string last_id_in(std::string_view events) {
    constexpr std::string_view field = "id:";
    std::string id;
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            while (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            while (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            id = std::string(line);
        }
        events = end == std::string_view::npos ? std::string_view{} : events.substr(end + 1);
    }
    return id;
}

/// Returns the length of the leading complete events, which end with a blank line.
std::size_t complete_events_length(std::string_view text) {
    const auto lf_end = text.rfind("\n\n");
    const auto crlf_end = text.rfind("\r\n\r\n");
    std::size_t length = 0;
    if (lf_end != std::string_view::npos) {
        length = lf_end + 2;
    }
    if (crlf_end != std::string_view::npos && crlf_end + 4 > length) {
        length = crlf_end + 4;
    }
    return length;
}

} // namespace

std::string resume_filter::feed(std::string_view bytes) {
    started_ = started_ || !bytes.empty();
    if (transparent_) {
        return std::string(bytes);
    }
    partial_ += bytes;
    const auto length = complete_events_length(partial_);
    std::string events = partial_.substr(0, length);
    partial_.erase(0, length);
    if (auto id = last_id_in(events); !id.empty()) {
        last_id_ = std::move(id);
    }
    return events;
}

std::string resume_filter::take_remainder() {
    return std::exchange(partial_, {});
}

} // namespace dragonflystair::gateway
