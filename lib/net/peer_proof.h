#pragma once

#include <string>
#include <string_view>

namespace dragonflystair::net {

/// What one side of a link says in its `hello`.
struct peer_identity {
    std::string name;
    std::string incarnation;
    std::string nonce; ///< Random for each link.

    /// Order that both sides of a link agree on. Names can be equal for a moment, when a node was
    /// restarted and its former process still runs.
    [[nodiscard]] bool before(const peer_identity& other) const;
};

enum class link_side { dialler, acceptor };

/// HMAC-SHA-256 by which `side` proves that it knows the secret. It covers both hellos, so that it
/// is of no use on another link, and the side, so that it cannot be sent back to its author.
std::string make_proof(std::string_view secret, link_side side, const peer_identity& dialler,
                       const peer_identity& acceptor);

/// Compares in constant time, so that the time tells nothing about the expected bytes.
bool same_proof(std::string_view left, std::string_view right);

} // namespace dragonflystair::net
