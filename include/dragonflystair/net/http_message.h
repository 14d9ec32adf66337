#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

/// Case-insensitive order of header names.
struct header_name_less {
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

/// Headers by name. The last value of a repeated header is kept.
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
    std::vector<std::string> repeated_headers{}; ///< Names of headers that were received twice.
};

/// Returns the value of a header, or an empty view if it is absent.
std::string_view header(const http_headers& headers, std::string_view name);

/// Returns the path of a target without its query.
std::string_view path_of(std::string_view target);

/// Returns the percent-decoded value of a query parameter, or an empty string if it is absent.
std::string query_value(std::string_view target, std::string_view name);

} // namespace dragonflystair::net
