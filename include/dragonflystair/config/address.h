#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::config {

/// What an address is for. One to listen on may have port 0, which takes a port from the OS.
enum class address_use { connect, listen };

/// Why a value is not `IP:PORT`, or an empty string. IPv6 addresses are written in brackets.
std::string address_fault(std::string_view value, address_use use = address_use::connect);

} // namespace dragonflystair::config
