#include "peer_proof.h"

#include "dragonflystair/support/json.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <stdexcept>
#include <tuple>

namespace dragonflystair::net {

bool peer_identity::before(const peer_identity& other) const {
    return std::tie(name, incarnation) < std::tie(other.name, other.incarnation);
}

std::string make_proof(std::string_view secret, link_side side, const peer_identity& dialler,
                       const peer_identity& acceptor) {
    // msgpack delimits the parts unambiguously, unlike a plain concatenation.
    const auto input = support::json::to_msgpack(support::json::array(
        {side == link_side::dialler ? "dialler" : "acceptor", dialler.name, dialler.incarnation,
         dialler.nonce, acceptor.name, acceptor.incarnation, acceptor.nonce}));
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), input.data(),
             input.size(), digest.data(), &size) == nullptr) {
        throw std::runtime_error("HMAC-SHA-256 is not available");
    }
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text += digits[digest.at(i) >> 4U];
        text += digits[digest.at(i) & 0xfU];
    }
    return text;
}

bool same_proof(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace dragonflystair::net
