#pragma once

#include "dragonflystair/support/hash.h"

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflystair::stand_ins {

/// Returns the text of one token: the low 32 bits of XXH3-64 of `ADAPTER LF PROMPT LF POSITION` as
/// 8 hexadecimal digits and a blank, so that a test can compute a complete answer.
inline std::string token_text(std::string_view adapter, std::string_view prompt,
                              std::uint64_t position) {
    const auto hash = support::fingerprint(fmt::format("{}\n{}\n{}", adapter, prompt, position));
    return fmt::format("{:08x} ", hash & 0xffffffffU);
}

} // namespace dragonflystair::stand_ins
