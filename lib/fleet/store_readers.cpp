#include "dragonflystair/fleet/store_readers.h"

#include <algorithm>

namespace dragonflystair::fleet {

using support::time_point;

void store_readers::on_status(std::string_view peer, std::string_view name, bool reads,
                              time_point answered) {
    auto& entry = peers_[std::string(peer)];
    entry.name = name;
    entry.reads = reads;
    // The status may have been sent before records that arrived earlier.
    entry.answered = std::max(entry.answered, answered);
}

void store_readers::on_forwarded(std::string_view peer, time_point now) {
    if (const auto found = peers_.find(peer); found != peers_.end()) {
        found->second.reads = true;
        found->second.answered = now;
    }
}

void store_readers::remove(std::string_view peer) {
    if (const auto found = peers_.find(peer); found != peers_.end()) {
        peers_.erase(found);
    }
}

bool store_readers::has_reader(time_point now) const {
    return !reader(now).empty();
}

std::string store_readers::reader(time_point now) const {
    const auto found = std::ranges::find_if(peers_, [&](const auto& entry) {
        const auto& peer = entry.second;
        return peer.reads && peer.name < own_name_ && now - peer.answered <= max_silence;
    });
    return found == peers_.end() ? std::string{} : found->first;
}

std::size_t store_readers::rank() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_, [this](const auto& entry) { return entry.second.name < own_name_; }));
}

} // namespace dragonflystair::fleet
