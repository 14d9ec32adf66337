#include "peer_table.h"

namespace dragonflystair::net {

bool peer_table::add(const std::string& peer, const std::shared_ptr<peer_link>& link,
                     const frame_bytes& first) {
    const std::lock_guard lock(mutex_);
    if (links_.contains(peer)) {
        return false;
    }
    if (first) {
        link->enqueue(first);
    }
    links_.emplace(peer, link);
    return true;
}

void peer_table::remove(const std::string& peer, const std::shared_ptr<peer_link>& link) {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(peer);
    if (found != links_.end() && found->second == link) {
        links_.erase(found);
    }
}

std::shared_ptr<peer_link> peer_table::find(std::string_view peer) const {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(peer);
    return found == links_.end() ? nullptr : found->second;
}

std::vector<std::string> peer_table::peers() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> out;
    for (const auto& [peer, link] : links_) {
        if (!link->closed()) {
            out.push_back(peer);
        }
    }
    return out;
}

std::vector<std::shared_ptr<peer_link>> peer_table::links() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<peer_link>> out;
    out.reserve(links_.size());
    for (const auto& [peer, link] : links_) {
        out.push_back(link);
    }
    return out;
}

} // namespace dragonflystair::net
