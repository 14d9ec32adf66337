#include "http_pool.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace dragonflystair::net {

namespace {

/// Enough for the calls that one node has under way to one endpoint today.
constexpr std::size_t max_idle_per_address = 32;

/// Half of the server's default idle timeout, so that this side closes first.
constexpr std::chrono::seconds max_idle_time{30};

} // namespace

std::shared_ptr<http_connection> http_pool::take(const std::string& address) {
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    if (found->second.empty()) {
        idle_.erase(found);
    }
    return connection;
}

void http_pool::keep(const std::string& address, std::shared_ptr<http_connection> connection) {
    connection->kept = true;
    // Armed before another thread can take the connection; the taker's own limit replaces it.
    connection->timer.arm(std::chrono::steady_clock::now() + max_idle_time, connection,
                          [pool = weak_from_this(), address, held = std::weak_ptr(connection)] {
                              const auto idle = held.lock();
                              const auto owner = pool.lock();
                              if (owner && idle) {
                                  owner->remove(address, idle.get());
                              }
                          });
    const std::lock_guard lock(mutex_);
    if (closed_) {
        connection->close_now();
        return;
    }
    auto& kept = idle_[address];
    if (kept.size() >= max_idle_per_address) {
        connection->close_now();
        return;
    }
    kept.push_back(std::move(connection));
}

void http_pool::remove(const std::string& address, const http_connection* connection) {
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    std::erase_if(found->second, [&](const auto& item) { return item.get() == connection; });
    if (found->second.empty()) {
        idle_.erase(found);
    }
}

void http_pool::close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (const auto& [address, connections] : idle_) {
        for (const auto& connection : connections) {
            connection->close();
        }
    }
    idle_.clear();
}

} // namespace dragonflystair::net
