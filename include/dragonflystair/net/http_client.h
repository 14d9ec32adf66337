#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// A response whose body is read piece by piece. Destroying it closes the connection.
class http_body_stream {
public:
    virtual ~http_body_stream() = default;
    [[nodiscard]] virtual const http_response& head() const = 0;
    /// The next piece, nothing at the orderly end, an error (`unknown`) if the connection broke or
    /// was silent for `timeout`. One read at a time.
    virtual awaitable<async_result<std::optional<std::string>>>
    read(std::chrono::milliseconds timeout) = 0;
    /// Closes the connection; safe from any thread. A pending read ends with an error.
    virtual void close() = 0;
};

/// HTTP/1.1 client that keeps idle connections per address (at most 32, for at most 30 s).
///
/// Errors: `unavailable` if no byte of the request left the process (connect failed or timed out),
/// `unknown` if the request was written but no whole answer came, `malformed` for a broken answer
/// and for an address, target or header that cannot be sent. A kept connection that the server
/// closed is replaced silently if nothing was written on it, or if a GET got no byte of an answer.
class http_client {
public:
    explicit http_client(executor context);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// `reuse` false opens a new connection, as non-idempotent calls need: on a kept connection one
    /// cannot know whether a request that got no answer was read.
    awaitable<async_result<http_response>> request(std::string address, http_request request,
                                                   std::chrono::milliseconds timeout,
                                                   bool reuse = true);

    /// Sends the request on a new connection and reads the head of the response.
    awaitable<async_result<std::unique_ptr<http_body_stream>>>
    open_stream(std::string address, http_request request, std::chrono::milliseconds timeout);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
