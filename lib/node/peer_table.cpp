#include "peer_table.h"

#include <utility>

namespace dragonflystair::node {

void peer_table::on_heartbeat(peer_status status) {
    const std::lock_guard lock(mutex_);
    auto key = status.incarnation;
    peers_[std::move(key)] = std::move(status);
}

void peer_table::on_down(std::string_view incarnation) {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(incarnation);
    if (found != peers_.end()) {
        peers_.erase(found);
    }
}

std::optional<peer_status> peer_table::find(std::string_view incarnation) const {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(incarnation);
    if (found == peers_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<peer_status> peer_table::all() const {
    const std::lock_guard lock(mutex_);
    std::vector<peer_status> result;
    result.reserve(peers_.size());
    for (const auto& [incarnation, status] : peers_) {
        result.push_back(status);
    }
    return result;
}

} // namespace dragonflystair::node
