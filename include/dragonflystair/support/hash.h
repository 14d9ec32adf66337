#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::support {

/// Returns the XXH3-64 hash of the bytes.
std::uint64_t fingerprint(std::string_view bytes);

/// Returns the weight of `member` for `key` in rendezvous hashing. The member of the highest weight
/// is the most preferred.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

/// Returns the members in rendezvous order for `key`, most preferred first.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::span<const std::string> members);

/// Returns 128 random bits from the system's random number generator, as 32 hexadecimal digits.
std::string random_id();

} // namespace dragonflystair::support
