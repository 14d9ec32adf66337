#include "resume_filter.h"

#include <utility>

namespace dragonflystair::gateway {

namespace {

/// Id of the last event in a text of whole events; empty if none has one.
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

/// Length of the leading whole events, which end with a blank line.
std::size_t whole_events(std::string_view text) {
    const auto plain = text.rfind("\n\n");
    const auto with_return = text.rfind("\r\n\r\n");
    std::size_t length = 0;
    if (plain != std::string_view::npos) {
        length = plain + 2;
    }
    if (with_return != std::string_view::npos && with_return + 4 > length) {
        length = with_return + 4;
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
    const auto length = whole_events(partial_);
    std::string out = partial_.substr(0, length);
    partial_.erase(0, length);
    if (auto id = last_id_in(out); !id.empty()) {
        last_id_ = std::move(id);
    }
    return out;
}

std::string resume_filter::rest() {
    return std::exchange(partial_, {});
}

} // namespace dragonflystair::gateway
