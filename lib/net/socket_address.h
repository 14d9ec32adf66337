#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Parses `IP:PORT` (IPv6 as `[IP]:PORT`). Returns nullopt if the text is not such an address.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

/// As `parse_address`, but throws boost::system::system_error; for addresses to bind.
boost::asio::ip::tcp::endpoint require_address(std::string_view text);

std::string to_string(const boost::asio::ip::tcp::endpoint& address);

} // namespace dragonflystair::net
