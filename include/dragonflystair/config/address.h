#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::config {

/// Whether port 0 is right: as an address to listen on it takes a port from the OS.
enum class port_zero { refused, allowed };

/// Why a value is not `IP:PORT`, or an empty string. IPv6 addresses are written in brackets.
std::string address_error(std::string_view value, port_zero zero = port_zero::refused);

} // namespace dragonflystair::config
