#include "pending_links.h"

namespace dragonflystair::net {

bool pending_links::make_room(time_point now) {
    if (links_.size() < limit_) {
        return true;
    }
    std::erase_if(links_, [](const entry& item) {
        const auto link = item.link.lock();
        return !link || link->closed() || link->authenticated();
    });
    if (links_.size() < limit_) {
        return true;
    }
    for (const auto& item : links_) {
        if (now - item.accepted < usual_handshake) {
            break;
        }
        if (const auto link = item.link.lock()) {
            link->reject("handshake_limit");
        }
    }
    return false;
}

} // namespace dragonflystair::net
