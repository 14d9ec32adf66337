#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/counters.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// One request and the means to answer it. A handler calls either `respond` once, or
/// `begin_stream`, then `write` any number of times, then `end_stream`. The exchange lives until
/// the handler returns. A handler that returns without an answer, or throws, gives 500; a stream
/// that was not ended is cut off without its last chunk, so that the caller notices.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const http_request& request() const = 0;
    virtual awaitable<void> respond(http_response response) = 0;
    virtual awaitable<void> begin_stream(http_response head) = 0;
    /// False once the caller has gone or stopped reading for the write timeout. The bytes must
    /// stay valid until the write has ended; one write at a time.
    virtual awaitable<bool> write(std::string_view bytes) = 0;
    virtual awaitable<void> end_stream() = 0;
    /// True once the caller's connection is known to be closed.
    [[nodiscard]] virtual bool disconnected() const = 0;
    /// Called (at most once, from any thread) when the caller's connection closes before the
    /// handler has returned; at once if it has closed already.
    virtual void on_disconnect(std::function<void()> hook) = 0;
};

using http_handler = std::function<awaitable<void>(http_exchange&)>;

struct http_server_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1024} * 1024;
    std::chrono::milliseconds request_timeout{10'000}; ///< To send one whole request.
    std::chrono::milliseconds idle_timeout{60'000};    ///< Between requests of a connection.
    std::chrono::milliseconds write_timeout{10'000};   ///< For a caller that does not read.
    /// Idle time after which a connection closes during a shutdown. A caller that sends within it
    /// still gets an answer, with `Connection: close`.
    std::chrono::milliseconds shutdown_idle_timeout{500};
};

/// HTTP/1.1 server. Requests over a limit are answered with problem details (413, 431, 408, 400)
/// and counted under `refusals_total` as `body_too_large`, `header_too_large`, `slow_request`,
/// `malformed_http`; a failed handler is counted there as `internal_error`. Handlers run on their
/// connection's strand. The counters must outlive the context's threads.
class http_server {
public:
    /// Binds at once; port 0 takes a port from the OS. Throws boost::system::system_error.
    http_server(executor context, std::string_view address, http_server_limits limits,
                http_handler handler, support::counters& counters);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Address with the port in use.
    [[nodiscard]] std::string address() const;

    void start();

    /// Replaces the limits; requests that are being read keep theirs.
    void set_limits(const http_server_limits& limits);

    /// Goes on accepting, but closes each connection after its next answer.
    void announce_shutdown();

    /// Stops accepting; idle connections close, exchanges under way finish and then close.
    void begin_shutdown();

    /// Number of exchanges under way, from the first byte of the request to the end of the answer.
    [[nodiscard]] std::size_t open_exchanges() const;

    /// Number of connections, idle ones among them.
    [[nodiscard]] std::size_t open_connections() const;

    /// Closes everything.
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
