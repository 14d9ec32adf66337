#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Contents of the `hello` of one side of a link.
struct peer_identity {
    std::string name;
    std::string incarnation;
    std::string nonce; ///< Random for each link.

    /// Total order, the same on both sides of a link. Names can be equal for a short time, when a
    /// node has been restarted and its previous process still runs.
    [[nodiscard]] bool before(const peer_identity& other) const;
};

enum class link_side { dialler, acceptor };

/// Returns the HMAC-SHA-256 by which `side` proves that it knows the secret. It covers both hellos,
/// so that it cannot be replayed on another link, and the side, so that it cannot be reflected to
/// its sender.
std::string make_proof(std::string_view secret, link_side side, const peer_identity& dialler,
                       const peer_identity& acceptor);

/// Compares in constant time, so that the duration reveals nothing about the expected bytes.
bool same_proof(std::string_view left, std::string_view right);

} // namespace dragonflystair::net
