#include "socket_address.h"

#include "dragonflystair/net/address.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <charconv>
#include <cstdint>
#include <sstream>

namespace dragonflystair::net {

namespace ip = boost::asio::ip;

std::optional<ip::tcp::endpoint> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (fault != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto number = ip::make_address(std::string(host), error);
    if (error) {
        return std::nullopt;
    }
    return ip::tcp::endpoint(number, port);
}

bool is_address(std::string_view text) {
    const auto address = parse_address(text);
    return address && address->port() != 0;
}

ip::tcp::endpoint require_address(std::string_view text) {
    const auto address = parse_address(text);
    if (!address) {
        throw boost::system::system_error(
            boost::system::error_code(boost::asio::error::invalid_argument),
            "not an address of the form IP:PORT: " + std::string(text));
    }
    return *address;
}

std::string to_string(const ip::tcp::endpoint& address) {
    std::ostringstream out;
    out << address;
    return std::move(out).str();
}

} // namespace dragonflystair::net
