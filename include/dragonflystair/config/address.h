#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::config {

/// Why a value is not `IP:PORT`, or an empty string. IPv6 addresses are written in brackets, and
/// port 0 is none.
std::string address_fault(std::string_view value);

} // namespace dragonflystair::config
