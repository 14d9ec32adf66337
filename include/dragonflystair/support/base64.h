#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::support {

/// Encodes bytes as base64 with padding (RFC 4648, section 4).
std::string to_base64(std::string_view bytes);

/// Decodes base64 with padding. Returns nothing if the text is not valid.
std::optional<std::string> from_base64(std::string_view text);

} // namespace dragonflystair::support
