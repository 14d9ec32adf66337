#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::config {

/// Whether port 0 is valid in an address. In an address to listen on, it requests a free port from
/// the operating system.
enum class port_zero { refused, allowed };

/// Returns why a value is not a valid `IP:PORT`, or an empty string if it is valid. IPv6 addresses
/// are written in brackets.
std::string address_error(std::string_view value, port_zero zero = port_zero::refused);

} // namespace dragonflystair::config
