#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"
#include "dragonflystair/support/counters.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// One request and the means to answer it. A handler calls either `respond` once, or
/// `begin_stream`, then `write` any number of times, then `end_stream`.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const http_request& request() const = 0;
    virtual awaitable<void> respond(http_response response) = 0;
    virtual awaitable<void> begin_stream(http_response head) = 0;
    /// False once the caller has gone or stopped reading for the write timeout.
    virtual awaitable<bool> write(std::string_view bytes) = 0;
    virtual awaitable<void> end_stream() = 0;
    /// True once the caller's connection is known to be closed.
    [[nodiscard]] virtual bool disconnected() const = 0;
    /// Called (at most once, from any thread) when the caller's connection closes early.
    virtual void on_disconnect(std::function<void()> hook) = 0;
};

using http_handler = std::function<awaitable<void>(http_exchange&)>;

struct http_server_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    std::chrono::milliseconds request_timeout{10'000}; ///< To send one whole request.
    std::chrono::milliseconds idle_timeout{60'000};    ///< Between requests of a connection.
    std::chrono::milliseconds write_timeout{10'000};   ///< For a caller that does not read.
};

/// HTTP/1.1 server. Requests over a limit are answered with problem details (413, 431, 408, 400)
/// and counted under `refusals_total` as `body_too_large`, `header_too_large`, `slow_request`,
/// `malformed_http`.
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

    /// Stops accepting; idle connections close, exchanges under way finish and then close.
    void begin_shutdown();

    /// Number of exchanges under way.
    [[nodiscard]] std::size_t open_exchanges() const;

    /// Closes everything.
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
