#pragma once

#include "http_connection.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace dragonflystair::net {

/// Idle client connections by address. Safe from any thread.
class http_pool : public std::enable_shared_from_this<http_pool> {
public:
    /// Removes and returns the most recently used connection; null if there is none.
    std::shared_ptr<http_connection> acquire(const std::string& address);

    /// Returns a connection to the pool until its idle timeout. Called on the connection's strand.
    void release(const std::string& address, std::shared_ptr<http_connection> connection);

    /// Closes all connections, and from then on each one that is released.
    void close();

private:
    void remove(const std::string& address, const http_connection* connection);

    std::mutex mutex_;
    bool closed_ = false;
    std::map<std::string, std::deque<std::shared_ptr<http_connection>>> idle_;
};

} // namespace dragonflystair::net
