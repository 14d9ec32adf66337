#pragma once

#include <string_view>

namespace dragonflystair::net {

/// Returns whether the text is an address of the form IP:PORT that a connection can be opened to.
bool is_address(std::string_view text);

} // namespace dragonflystair::net
