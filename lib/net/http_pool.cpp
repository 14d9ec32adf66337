#include "http_pool.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace dragonflystair::net {

namespace {

/// Covers the calls that one node currently has in flight to one endpoint.
constexpr std::size_t max_idle_connections = 32;

/// Half of the server's default idle timeout, so that the client closes first.
constexpr std::chrono::seconds max_idle_time{30};

} // namespace

std::shared_ptr<http_connection> http_pool::acquire(const std::string& address) {
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

void http_pool::release(const std::string& address, std::shared_ptr<http_connection> connection) {
    connection->reused = true;
    // Armed before another thread can acquire the connection and replace this time limit by its
    // own.
    connection->timer.arm(
        std::chrono::steady_clock::now() + max_idle_time, connection,
        [pool = weak_from_this(), address, weak_connection = std::weak_ptr(connection)] {
            const auto idle = weak_connection.lock();
            const auto live_pool = pool.lock();
            if (live_pool && idle) {
                live_pool->remove(address, idle.get());
            }
        });
    const std::lock_guard lock(mutex_);
    if (closed_) {
        connection->close_now();
        return;
    }
    auto& connections = idle_[address];
    if (connections.size() >= max_idle_connections) {
        connection->close_now();
        return;
    }
    connections.push_back(std::move(connection));
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
