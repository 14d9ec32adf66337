#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflystair::untrusted {

/// What each connection of a crowd sends. Nothing is read.
struct crowd_plan {
    std::string address;
    std::size_t connections = 0;
    std::string text;            ///< Sent once, then the connection stays open.
    std::size_t repetitions = 1; ///< Number of times that `text` is sent.
    std::size_t piece_bytes = 0; ///< Bytes per write; 0 for as many as the socket takes.
};

/// Connections of callers that are not under our control. They stay open until destruction.
class crowd {
public:
    crowd();
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Opens the connections of a plan; those that the server does not accept wait in its queue.
    void join(const crowd_plan& plan);

    /// Sends until every connection has sent its text or is closed, or for `longest`. Calls
    /// `observe` regularly and at the end.
    void send(std::chrono::milliseconds longest, const std::function<void()>& observe);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::untrusted
