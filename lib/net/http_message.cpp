#include "dragonflystair/net/http_message.h"

#include <algorithm>
#include <charconv>

namespace dragonflystair::net {

namespace {

/// Converts an ASCII letter to lower case, independently of the locale.
char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Decodes %XX sequences; leaves incomplete or invalid ones unchanged.
std::string percent_decoded(std::string_view text) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        const auto* const digits = text.data() + i + 1;
        if (text[i] == '%' && text.size() - i > 2 &&
            std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
            out += static_cast<char>(byte);
            i += 2;
            continue;
        }
        out += text[i];
    }
    return out;
}

} // namespace

bool header_name_less::operator()(std::string_view left, std::string_view right) const {
    return std::ranges::lexicographical_compare(left, right, {}, lower, lower);
}

std::string_view header(const http_headers& headers, std::string_view name) {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view{} : std::string_view{found->second};
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name) {
    const auto start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    auto rest = target.substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (percent_decoded(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string{}
                                                    : percent_decoded(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

} // namespace dragonflystair::net
