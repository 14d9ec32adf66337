#pragma once

#include "dragonflystair/net/http_message.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace dragonflystair::net {

namespace http = boost::beast::http;

/// Returns the headers of a parsed message.
http_headers headers_of(const http::fields& fields);

/// Returns the names of headers that occur more than once in a parsed message.
std::vector<std::string> repeated_headers_of(const http::fields& fields);

/// Returns false if a name or a value contains a character that would break the framing, such as a
/// line break, which would inject headers.
bool valid_headers(const http_headers& headers);

/// Builds the request to send to `address`, with Host and Content-Length.
http::request<http::string_body> to_beast(http_request request, std::string_view address);

/// Sets the headers of an outgoing message, except those that describe the framing.
void copy_headers(const http_headers& headers, http::fields& fields);

} // namespace dragonflystair::net
