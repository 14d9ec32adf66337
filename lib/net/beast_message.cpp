#include "beast_message.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflystair::net {

namespace {

/// HTTP/1.1 in Beast's encoding of versions.
constexpr unsigned version_1_1 = 11;

bool is_framing(std::string_view name) {
    const header_name_less less;
    return std::ranges::any_of(
        std::initializer_list<std::string_view>{"Content-Length", "Transfer-Encoding", "Connection",
                                                "Keep-Alive"},
        [&](std::string_view other) { return !less(name, other) && !less(other, name); });
}

} // namespace

http_headers headers_of(const http::fields& fields) {
    http_headers out;
    for (const auto& field : fields) {
        out.insert_or_assign(std::string(field.name_string()), std::string(field.value()));
    }
    return out;
}

std::vector<std::string> repeated_headers_of(const http::fields& fields) {
    std::vector<std::string> repeated;
    http_headers known;
    for (const auto& field : fields) {
        const auto added = known.emplace(std::string(field.name_string()), std::string()).second;
        if (!added) {
            repeated.emplace_back(field.name_string());
        }
    }
    return repeated;
}

bool valid_headers(const http_headers& headers) {
    return std::ranges::none_of(headers, [](const auto& item) {
        return item.first.find_first_of(std::string_view("\r\n:\0 ", 5)) != std::string::npos ||
               item.first.empty() ||
               item.second.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
    });
}

void copy_headers(const http_headers& headers, http::fields& fields) {
    for (const auto& [name, value] : headers) {
        if (!is_framing(name)) {
            fields.set(name, value);
        }
    }
}

http::request<http::string_body> to_beast(http_request request, std::string_view address) {
    http::request<http::string_body> message;
    message.version(version_1_1);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, address);
    copy_headers(request.headers, message);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace dragonflystair::net
