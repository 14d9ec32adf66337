#pragma once

#include "dragonflystair/net/byte_budget.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace dragonflystair::net {

class http_session;

/// The open connections of an HTTP server and what they hold. Safe from any thread.
class session_registry {
public:
    explicit session_registry(byte_budget::limits limits) : budget_(limits) {}

    /// Returns whether another connection has room; closes stalled ones if it has none.
    bool make_room();

    /// Adds a session. Returns false if its address has too many connections, or after `close_all`.
    bool add(const std::shared_ptr<http_session>& session, const std::string& address);
    void remove(byte_budget::holder id);

    /// Sets the bytes that a session holds; closes others if necessary. Returns false if the bytes
    /// are not granted.
    bool hold(byte_budget::holder id, std::size_t bytes);
    bool hold_ahead(byte_budget::holder id, std::size_t bytes);
    void receive(byte_budget::holder id, std::size_t bytes);
    void set_busy(byte_budget::holder id, bool busy);
    void set_writing(byte_budget::holder id, bool writing);
    [[nodiscard]] bool has_room(std::size_t bytes) const;

    /// Lets `add` refuse every session from now on.
    void refuse_all();
    [[nodiscard]] bool refusing() const;

    [[nodiscard]] std::vector<std::shared_ptr<http_session>> sessions() const;
    [[nodiscard]] std::size_t held() const;

private:
    /// Returns the sessions to close. The caller closes them without the lock.
    std::vector<std::shared_ptr<http_session>> find(const std::vector<byte_budget::holder>& ids);

    mutable std::mutex mutex_;
    byte_budget budget_;
    std::map<byte_budget::holder, std::weak_ptr<http_session>> sessions_;
    byte_budget::holder last_id_ = 0;
    bool refusing_ = false;
};

} // namespace dragonflystair::net
