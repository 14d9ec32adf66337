#include "dragonflystair/stream/sse.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::stream {

namespace {

std::string without_line_breaks(std::string_view text) {
    std::string out(text);
    std::erase_if(out, [](char c) { return c == '\r' || c == '\n'; });
    return out;
}

/// Appends `data` as one or more data lines.
void append_data(std::string& out, std::string_view data) {
    while (true) {
        const auto end = data.find_first_of("\r\n");
        out += "data: ";
        out += data.substr(0, end);
        out += '\n';
        if (end == std::string_view::npos) {
            return;
        }
        const bool is_crlf = data.substr(end, 2) == "\r\n";
        data.remove_prefix(end + (is_crlf ? 2 : 1));
    }
}

} // namespace

std::string render(const sse_event& event) {
    std::string out;
    out.reserve(event.data.size() + event.id.size() + event.event.size() + 32);
    if (!event.id.empty()) {
        out += "id: " + without_line_breaks(event.id) + '\n';
    }
    if (!event.event.empty()) {
        out += "event: " + without_line_breaks(event.event) + '\n';
    }
    append_data(out, event.data);
    out += '\n';
    return out;
}

void sse_reader::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        if (std::exchange(after_carriage_return_, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        line_ += bytes.substr(0, end);
        if (end == std::string_view::npos) {
            return;
        }
        after_carriage_return_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        end_line();
    }
}

std::optional<sse_event> sse_reader::next() {
    if (ready_.empty()) {
        return std::nullopt;
    }
    sse_event event = std::move(ready_.front());
    ready_.pop_front();
    return event;
}

void sse_reader::end_line() {
    const std::string line = std::exchange(line_, {});
    if (line.empty()) {
        if (std::exchange(has_data_, false)) {
            ready_.push_back(std::move(current_));
        }
        current_ = {};
        return;
    }
    const std::string_view view = line;
    const auto colon = view.find(':');
    if (colon == std::string_view::npos) {
        add_field(view, {});
        return;
    }
    auto value = view.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    add_field(view.substr(0, colon), value);
}

void sse_reader::add_field(std::string_view name, std::string_view value) {
    if (name == "data") {
        if (std::exchange(has_data_, true)) {
            current_.data += '\n';
        }
        current_.data += value;
    } else if (name == "id") {
        current_.id = value;
    } else if (name == "event") {
        current_.event = value;
    }
}

} // namespace dragonflystair::stream
