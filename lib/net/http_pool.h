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
    /// Takes the connection that was used last, or nothing.
    std::shared_ptr<http_connection> take(const std::string& address);

    /// Keeps a connection until its idle time is over. Called on the connection's strand.
    void keep(const std::string& address, std::shared_ptr<http_connection> connection);

    /// Closes all connections and keeps none from now on.
    void close();

private:
    void remove(const std::string& address, const http_connection* connection);

    std::mutex mutex_;
    bool closed_ = false;
    std::map<std::string, std::deque<std::shared_ptr<http_connection>>> idle_;
};

} // namespace dragonflystair::net
