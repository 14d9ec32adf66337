#pragma once

#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace dragonflystair::scenarios {

/// One HTTP request on a thread of its own; its answer can be watched while it comes.
class http_call {
public:
    http_call(std::string address, net::http_request request, std::chrono::milliseconds timeout);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Waits for the end of the answer.
    void wait();

    [[nodiscard]] bool ended() const;
    /// Error of the client, or an empty string.
    [[nodiscard]] std::string error() const;
    /// Status, headers and what has come of the body.
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
