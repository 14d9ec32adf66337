#pragma once

#include "peer_link.h"

#include <memory>
#include <string_view>

namespace dragonflystair::net {

struct handshake_result {
    enum class kind {
        failed,        ///< The link is closed; the reason is counted.
        self,          ///< The other side is this node.
        authenticated, ///< Both sides have proven that they know the secret.
    };
    kind outcome = kind::failed;
    peer_identity own;
    peer_identity peer; ///< Valid unless the handshake failed.
};

/// Exchanges `hello` and `proof`. The dialler sends its proof first, so that a stranger that
/// connects to this node's port gets no proof without knowing the secret. Runs on the link's
/// strand.
awaitable<handshake_result> perform_handshake(std::shared_ptr<peer_link> link,
                                              std::shared_ptr<const peer_settings> settings);

/// Encodes a frame that has only a type.
frame_bytes type_only_frame(std::string_view type);

} // namespace dragonflystair::net
