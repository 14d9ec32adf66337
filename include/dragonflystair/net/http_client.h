#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// A response whose body is read incrementally. Destroying it closes the connection.
class http_body_stream {
public:
    virtual ~http_body_stream() = default;
    [[nodiscard]] virtual const http_response& head() const = 0;
    /// Returns the next part of the body, nullopt at its regular end, or an error (`unknown`) if
    /// the connection failed or delivered nothing for `timeout`. Only one read may be pending.
    virtual awaitable<async_result<std::optional<std::string>>>
    read(std::chrono::milliseconds timeout) = 0;
    /// Closes the connection; safe from any thread. A pending read ends with an error.
    virtual void close() = 0;
};

/// HTTP/1.1 client with a pool of idle connections per address (at most 32, for at most 30 s).
///
/// Errors: `unavailable` if no byte of the request left the process (connect failed or timed out),
/// `unknown` if the request was written but no whole response arrived, `malformed` for an invalid
/// response and for an address, target or header that cannot be sent. A reused connection that the
/// server has closed is replaced without an error if nothing was written on it, or if a GET
/// received no byte of a response.
///
/// A server may send a second copy of a response late. If servers echo an id, responses with
/// another id are skipped, and one without an id is `unknown` once its connection has delivered an
/// id. A copy from a server that echoes none cannot be told from the response.
class http_client {
public:
    /// Default limit of a response's body: larger than a log page of 1,000 records with outcomes of
    /// 16 KiB each.
    static constexpr std::size_t log_page_bytes = std::size_t{32} * 1024 * 1024;

    /// A longer response than `max_body_bytes` is `malformed`. `id_header` names the header in
    /// which servers echo the id of a request; empty if they echo none. Each request needs an id of
    /// its own there. One without an id does not reuse a connection.
    explicit http_client(executor context, std::size_t max_body_bytes = log_page_bytes,
                         std::string id_header = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the whole response. Non-idempotent calls need a new connection
    /// (`reuse` false): on a reused one it is uncertain whether the server has read a request that
    /// got no response.
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
