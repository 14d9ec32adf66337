#include "dragonflystair/net/byte_budget.h"

#include <algorithm>

namespace dragonflystair::net {

byte_budget::verdict byte_budget::make_room(time_point now) {
    verdict out;
    out.granted = entries_.size() < limits_.connections;
    if (out.granted) {
        return out;
    }
    const auto batch = std::max(min_batch, limits_.connections / connections_per_batch);
    auto closing = static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](const auto& item) { return item.second.closing; }));
    for (const auto& item : stalled(now)) {
        if (closing >= batch) {
            break;
        }
        uncount(item->second);
        item->second.closing = true;
        out.closed.push_back(item->first);
        ++closing;
    }
    return out;
}

/// Returns the connections that make room for others, in the order in which they are closed.
std::vector<byte_budget::entries::iterator> byte_budget::stalled(time_point now) {
    std::vector<entries::iterator> waiting;
    std::vector<entries::iterator> unread;
    for (auto item = entries_.begin(); item != entries_.end(); ++item) {
        const auto& other = item->second;
        if (other.closing) {
            continue;
        }
        if (!other.busy && now - other.progressed >= min_stall) {
            waiting.push_back(item);
        } else if (other.busy && other.writing && now - other.write_began >= min_unread) {
            unread.push_back(item);
        }
    }
    std::ranges::sort(waiting, {}, [](const auto& item) { return item->second.progressed; });
    std::ranges::sort(unread, {}, [](const auto& item) { return item->second.write_began; });
    waiting.insert(waiting.end(), unread.begin(), unread.end());
    return waiting;
}

bool byte_budget::open(holder id, const std::string& address, time_point now) {
    auto& same = by_address_[address];
    if (limits_.connections_per_address > 0 && same >= limits_.connections_per_address) {
        return false;
    }
    ++same;
    entry item;
    item.address = address;
    item.progressed = now;
    entries_.emplace(id, std::move(item));
    return true;
}

void byte_budget::close(holder id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    uncount(found->second);
    const auto same = by_address_.find(found->second.address);
    if (--same->second == 0) {
        by_address_.erase(same);
    }
    entries_.erase(found);
}

byte_budget::verdict byte_budget::hold(holder id, std::size_t bytes, time_point now) {
    verdict out;
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.closing) {
        return out;
    }
    auto& self = found->second;
    const bool grows = bytes > self.bytes;
    const auto before = self.bytes;
    uncount(self);
    self.bytes = bytes;
    count(self);
    out.granted = true;
    while (grows && over(self.busy)) {
        const auto victim = first_to_close(now);
        if (victim == entries_.end()) {
            out.granted = false;
            return out;
        }
        if (victim == found) {
            uncount(self);
            self.bytes = before;
            count(self);
            out.granted = false;
            return out;
        }
        uncount(victim->second);
        victim->second.closing = true;
        out.closed.push_back(victim->first);
    }
    return out;
}

bool byte_budget::hold_ahead(holder id, std::size_t bytes) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.closing) {
        return false;
    }
    auto& self = found->second;
    if (held() - self.bytes + bytes + kept_for_connections() > limits_.bytes) {
        return false;
    }
    uncount(self);
    self.bytes = bytes;
    count(self);
    return true;
}

void byte_budget::receive(holder id, std::size_t bytes, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    auto& self = found->second;
    self.received += bytes;
    if (self.received >= progress_bytes) {
        self.received = 0;
        self.progressed = now;
    }
}

void byte_budget::set_busy(holder id, bool busy, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    auto& self = found->second;
    uncount(self);
    self.busy = busy;
    self.closing = false;
    self.received = 0;
    self.progressed = now;
    count(self);
}

void byte_budget::set_writing(holder id, bool writing, time_point now) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.writing = writing;
        found->second.write_began = now;
    }
}

bool byte_budget::has_room(std::size_t bytes) const {
    return busy_bytes_ + bytes <= limits_.bytes;
}

bool byte_budget::over(bool busy) const {
    return held() > limits_.bytes ||
           (!busy && waiting_bytes_ > limits_.bytes - std::min(limits_.reserved, limits_.bytes));
}

/// Returns the bytes that requests sent ahead may not take: the reserved part, or half of all if
/// the connections that may still come need it.
std::size_t byte_budget::kept_for_connections() const {
    const auto more = limits_.connections - std::min(entries_.size(), limits_.connections);
    const auto half = limits_.bytes / 2;
    const auto needed = more > half / connection_bytes ? half : more * connection_bytes;
    return std::max(limits_.reserved, needed);
}

byte_budget::entries::iterator byte_budget::first_to_close(time_point now) {
    auto first = entries_.end();
    double highest = -1;
    for (auto item = entries_.begin(); item != entries_.end(); ++item) {
        const auto& other = item->second;
        if (other.busy || other.closing) {
            continue;
        }
        // One more millisecond, so that new connections compare by their bytes.
        const std::chrono::duration<double> stalled =
            now - other.progressed + std::chrono::milliseconds(1);
        const double cost = static_cast<double>(other.bytes) * stalled.count();
        if (cost > highest) {
            highest = cost;
            first = item;
        }
    }
    return first;
}

void byte_budget::uncount(const entry& item) {
    if (!item.closing) {
        (item.busy ? busy_bytes_ : waiting_bytes_) -= item.bytes;
    }
}

void byte_budget::count(const entry& item) {
    if (!item.closing) {
        (item.busy ? busy_bytes_ : waiting_bytes_) += item.bytes;
    }
}

} // namespace dragonflystair::net
