#include "dragonflystair/net/problem.h"

#include <boost/beast/http/status.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace dragonflystair::net {

support::json error_object(std::string_view message, std::string_view reason) {
    return {{"message", message}, {"type", reason}, {"code", reason}};
}

http_response render(const problem& details) {
    const auto title = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(details.status)));
    const support::json body{{"type", "about:blank"},
                             {"title", std::string(title)},
                             {"status", details.status},
                             {"detail", details.detail},
                             {"reason", details.reason},
                             {"outcome", details.outcome},
                             {"error", error_object(details.detail, details.reason)}};
    http_response response;
    response.status = details.status;
    response.headers["Content-Type"] = "application/problem+json";
    if (details.retry_after.count() > 0) {
        response.headers["Retry-After"] =
            std::to_string(std::chrono::ceil<std::chrono::seconds>(details.retry_after).count());
    }
    // Details may quote a caller's bytes, which need not be UTF-8.
    response.body = body.dump(-1, ' ', false, support::json::error_handler_t::replace);
    return response;
}

std::chrono::milliseconds retry_after_of(const http_headers& headers) {
    const auto text = header(headers, "Retry-After");
    std::uint32_t seconds = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (fault != std::errc{} || end != text.data() + text.size()) {
        return {};
    }
    return std::chrono::seconds(seconds);
}

} // namespace dragonflystair::net
