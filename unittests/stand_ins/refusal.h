#pragma once

#include <boost/beast/http/status.hpp>

#include <stdexcept>
#include <string>

namespace dragonflystair::stand_ins {

/// Thrown to end a request with an error status; 429 and 503 responses carry Retry-After.
struct refusal : std::runtime_error {
    refusal(boost::beast::http::status code, const std::string& message)
        : std::runtime_error(message), status(code) {}

    boost::beast::http::status status;
};

} // namespace dragonflystair::stand_ins
