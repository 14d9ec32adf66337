#pragma once

#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Orders header names without regard to case.
struct header_name_less {
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

/// Headers by name; a repeated header keeps the last value.
using http_headers = std::map<std::string, std::string, header_name_less>;

struct http_request {
    std::string method = "GET";
    std::string target = "/"; ///< Path with query.
    http_headers headers;
    std::string body;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Value of a header, or an empty view.
std::string_view header(const http_headers& headers, std::string_view name);

/// Path of a target without its query.
std::string_view path_of(std::string_view target);

/// Percent-decoded value of a query parameter, or an empty string.
std::string query_value(std::string_view target, std::string_view name);

} // namespace dragonflystair::net
