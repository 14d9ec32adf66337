#pragma once

#include "peer_link.h"

#include <memory>
#include <string_view>

namespace dragonflystair::net {

struct handshake_end {
    enum class kind {
        failed, ///< The link is closed; the reason is counted.
        self,   ///< The other side is this node.
        proven, ///< Both sides have proven the secret.
    };
    kind end = kind::failed;
    peer_identity own;
    peer_identity peer; ///< Valid unless the handshake failed.
};

/// Exchanges `hello` and `proof`. The dialler proves first, so that nobody gets a proof from this
/// node's port without knowing the secret. Runs on the link's strand.
awaitable<handshake_end> shake_hands(std::shared_ptr<peer_link> link,
                                     std::shared_ptr<const peer_settings> settings);

/// Bytes of a frame that has only a type.
frame_bytes plain_frame(std::string_view type);

} // namespace dragonflystair::net
