#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::support {

/// Base64 with padding (RFC 4648, section 4).
std::string to_base64(std::string_view bytes);

/// Inverse of `to_base64`; nothing if the text is not base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace dragonflystair::support
