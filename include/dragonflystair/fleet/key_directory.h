#pragma once

#include "dragonflystair/fleet/configuration.h"

#include <array>
#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace dragonflystair::fleet {

/// Finds the tenant of a caller's key.
///
/// Keys are kept and compared only as digests under a secret of this object, so the time of a
/// lookup tells a caller nothing about the keys that exist.
class key_directory {
public:
    /// Throws std::runtime_error if the system has no random numbers or no HMAC-SHA-256.
    key_directory();

    /// Replaces all keys. A key of several tenants identifies none of them.
    void replace(std::span<const tenant> tenants);

    /// Returns the name of the key's tenant, or an empty string if the key is unknown.
    [[nodiscard]] std::string tenant_of(std::string_view key) const;

private:
    static constexpr std::size_t digest_bytes = 32;
    using digest = std::array<unsigned char, digest_bytes>;

    [[nodiscard]] digest digest_of(std::string_view key) const;

    digest secret_{};
    std::map<digest, std::string> tenants_; ///< The name is empty for a key of several tenants.
};

} // namespace dragonflystair::fleet
