#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/counters.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// A request and the operations to respond to it. A handler calls either `respond` once, or
/// `begin_stream`, then `write` any number of times, then `end_stream`. The exchange lives until
/// the handler returns. If a handler throws or returns without a response, the server responds with
/// 500. A stream that was not ended is closed without its last chunk, so that the caller detects
/// the truncation.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const http_request& request() const = 0;
    virtual awaitable<void> respond(http_response response) = 0;
    virtual awaitable<void> begin_stream(http_response head) = 0;
    /// Returns false once the caller has disconnected or has not read for the write timeout. The
    /// bytes must stay valid until the write has completed. Only one write may be pending.
    virtual awaitable<bool> write(std::string_view bytes) = 0;
    virtual awaitable<void> end_stream() = 0;
    /// Returns whether the server has detected that the caller's connection is closed.
    [[nodiscard]] virtual bool disconnected() const = 0;
    /// Sets the hook that is called (at most once, from any thread) when the caller's connection
    /// closes before the handler has returned; it is called immediately if it has closed already.
    virtual void on_disconnect(std::function<void()> hook) = 0;
};

using http_handler = std::function<awaitable<void>(http_exchange&)>;

struct http_server_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1024} * 1024;
    std::size_t header_fields = 256;
    /// For the caller to send a head, and then for each part of a body that `min_body_rate` asks
    /// for in this time, or for the rest of the body.
    std::chrono::milliseconds request_timeout{10'000};
    std::size_t min_body_rate = std::size_t{16} * 1024; ///< Bytes per second.
    std::chrono::milliseconds idle_timeout{60'000};     ///< Between requests of a connection.
    std::chrono::milliseconds write_timeout{10'000};    ///< For the caller to read written bytes.
    /// Idle time after which a connection closes during a shutdown. A request that arrives within
    /// it is still served, with `Connection: close` in the response.
    std::chrono::milliseconds shutdown_idle_timeout{500};
};

/// What all connections of a server may take together.
struct http_server_capacity {
    /// Bytes that callers make the server hold: heads, bodies, requests that were read ahead,
    /// responses that have not been read, and the connections themselves. A quarter is reserved for
    /// requests that are being served.
    std::size_t held_bytes = std::size_t{256} * 1024 * 1024;
    std::size_t connections = 0;             ///< 0 for half of the descriptors of the process.
    std::size_t connections_per_address = 0; ///< 0 means no limit.
};

struct http_server_options {
    std::string name = "http"; ///< Of the listener, in log lines.
    http_server_capacity capacity;
    /// Sees the head of a request whose body has not arrived yet, and may return a response. Then
    /// the body is not kept and the handler is not called. Runs on the connection's strand.
    std::function<std::optional<http_response>(const http_request& head)> check_head;
};

/// HTTP/1.1 server. Requests over a limit are rejected with problem details (413, 431, 408, 400)
/// and counted under `refusals_total` as `body_too_large`, `header_too_large`, `too_many_fields`,
/// `slow_request`, `malformed_http`; a failed handler is counted there as
/// `internal_error`. A request without room gets 503 and is counted as `no_room`. Callers whose
/// connection is closed to make room for others, or not accepted, are counted under
/// `caller_limits_total`. Handlers run on their connection's strand. The counters must outlive the
/// context's threads.
class http_server {
public:
    /// Binds immediately; port 0 lets the OS choose a port. Throws boost::system::system_error.
    http_server(executor context, std::string_view address, http_server_limits limits,
                http_handler handler, support::counters& counters,
                http_server_options options = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the bound address, with the actual port.
    [[nodiscard]] std::string address() const;

    void start();

    /// Replaces the limits. They apply to requests whose reading starts afterwards.
    void set_limits(const http_server_limits& limits);

    /// Continues to accept connections, but closes each one after its next response.
    void announce_shutdown();

    /// Stops accepting connections. Idle connections close; those with an exchange in flight close
    /// after it.
    void begin_shutdown();

    /// Number of exchanges in flight, from the first byte of the request to the end of the
    /// response.
    [[nodiscard]] std::size_t open_exchanges() const;

    /// Number of connections, including idle ones.
    [[nodiscard]] std::size_t open_connections() const;

    /// Bytes that callers make the server hold.
    [[nodiscard]] std::size_t held_bytes() const;

    /// Closes the listening socket and all connections.
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
