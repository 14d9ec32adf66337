#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::support {

/// XXH3-64 of the bytes.
std::uint64_t fingerprint(std::string_view bytes);

/// Weight of `member` for `key` in rendezvous hashing; the highest weight wins.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

/// Members in rendezvous order for `key`, most preferred first.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::span<const std::string> members);

/// 128 random bits from the system's generator, as 32 hexadecimal digits.
std::string random_id();

} // namespace dragonflystair::support
