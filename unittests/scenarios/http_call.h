#pragma once

#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace dragonflystair::scenarios {

/// An HTTP request that runs on its own thread. The response can be read while it arrives.
class http_call {
public:
    http_call(std::string address, net::http_request request, std::chrono::milliseconds timeout);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Waits until the response is complete or the request has failed.
    void wait();

    [[nodiscard]] bool ended() const;
    /// Returns the client's error message, or an empty string.
    [[nodiscard]] std::string error() const;
    /// Returns the status, the headers and the part of the body received so far; status 0 if no
    /// response has arrived.
    [[nodiscard]] net::http_response response() const;

private:
    void run(const std::string& address, const net::http_request& request,
             std::chrono::milliseconds timeout);

    mutable std::mutex mutex_;
    bool ended_ = false;
    std::string error_;
    net::http_response response_;
    std::thread thread_;
};

} // namespace dragonflystair::scenarios
