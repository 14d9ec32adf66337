#include "dragonflystair/fleet/key_directory.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace dragonflystair::fleet {

key_directory::key_directory() {
    if (RAND_bytes(secret_.data(), static_cast<int>(secret_.size())) != 1) {
        throw std::runtime_error("no random numbers are available");
    }
}

key_directory::digest key_directory::digest_of(std::string_view key) const {
    digest out{};
    unsigned int size = 0;
    const std::basic_string<unsigned char> bytes(key.begin(), key.end());
    if (HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()), bytes.data(),
             bytes.size(), out.data(), &size) == nullptr) {
        throw std::runtime_error("HMAC-SHA-256 is not available");
    }
    return out;
}

void key_directory::replace(std::span<const tenant> tenants) {
    tenants_.clear();
    for (const auto& tenant : tenants) {
        for (const auto& key : tenant.keys) {
            const auto [entry, added] = tenants_.emplace(digest_of(key), tenant.name);
            if (!added && entry->second != tenant.name) {
                entry->second.clear();
            }
        }
    }
}

std::string key_directory::tenant_of(std::string_view key) const {
    const auto found = tenants_.find(digest_of(key));
    return found == tenants_.end() ? std::string{} : found->second;
}

} // namespace dragonflystair::fleet
