#include "crowd_texts.h"

#include <fmt/format.h>

namespace dragonflystair::untrusted {

namespace {

std::string head(const std::string& path, const std::string& fields) {
    return "POST " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: crowd\r\n" + fields + "\r\n";
}

std::string chunk(std::size_t bytes) {
    return fmt::format("{:x}\r\n", bytes) + std::string(bytes, 'x') + "\r\n";
}

} // namespace

std::string almost_whole_body(const std::string& path, std::size_t body_bytes) {
    return head(path, fmt::format("Content-Length: {}\r\n", body_bytes)) +
           std::string(body_bytes - 1, 'x');
}

std::string chunks(const std::string& path, std::size_t body_bytes) {
    constexpr std::size_t chunk_bytes = 4000;
    const auto full = chunk(chunk_bytes);
    auto text = head(path, "Transfer-Encoding: chunked\r\n");
    for (std::size_t sent = 0; sent + chunk_bytes < body_bytes; sent += chunk_bytes) {
        text += full;
    }
    return text;
}

std::string many_fields(const std::string& path) {
    std::string fields;
    for (int i = 0; i < 1'800; ++i) {
        fields += fmt::format("{:x}:b\r\n", i);
    }
    return head(path, fields);
}

std::string short_request(const std::string& path) {
    return head(path, "Content-Length: 1\r\n") + "x";
}

std::string part_of_frame() {
    return std::string("\0\0\3\0", 4) + std::string(500, 'x');
}

} // namespace dragonflystair::untrusted
