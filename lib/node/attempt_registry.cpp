#include "attempt_registry.h"

#include <utility>
#include <vector>

namespace dragonflystair::node {

void attempt_registry::add(std::string id, std::string peer, call_sink sink) {
    const std::lock_guard lock(mutex_);
    entries_[std::move(id)] = {std::move(peer), std::move(sink)};
}

void attempt_registry::remove(std::string_view id) {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        entries_.erase(found);
    }
}

bool attempt_registry::deliver(std::string_view id, call_event event) {
    call_sink sink;
    {
        const std::lock_guard lock(mutex_);
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            return false;
        }
        sink = found->second.sink;
        if (std::holds_alternative<attempt_end>(event)) {
            entries_.erase(found);
        }
    }
    sink(std::move(event));
    return true;
}

void attempt_registry::on_peer_down(std::string_view peer) {
    std::vector<call_sink> sinks;
    {
        const std::lock_guard lock(mutex_);
        for (auto at = entries_.begin(); at != entries_.end();) {
            if (at->second.peer != peer) {
                ++at;
                continue;
            }
            sinks.push_back(std::move(at->second.sink));
            at = entries_.erase(at);
        }
    }
    for (const auto& sink : sinks) {
        sink(attempt_end{attempt_end_kind::interrupted, "peer_link_down", {}});
    }
}

std::size_t attempt_registry::size() const {
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

} // namespace dragonflystair::node
