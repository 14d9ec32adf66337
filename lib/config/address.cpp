#include "dragonflystair/config/address.h"

#include "parse_whole.h"

#include <boost/asio/ip/address.hpp>

#include <cstdint>

namespace dragonflystair::config {

std::string address_error(std::string_view value, port_zero zero) {
    const auto colon = value.rfind(':');
    if (colon == std::string_view::npos) {
        return "the port is missing";
    }
    const auto port = parse_whole<std::uint16_t>(value.substr(colon + 1));
    if (!port || (*port == 0 && zero == port_zero::refused)) {
        return "the port is not a number from 1 to 65535";
    }
    std::string host(value.substr(0, colon));
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(host, code);
    if (code || address.is_v6() != bracketed) {
        return "the host is not an IP address";
    }
    return {};
}

} // namespace dragonflystair::config
