#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/error.h"

#include "beast_message.h"
#include "deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace dragonflystair::net {

using tcp = boost::asio::ip::tcp;
using outgoing_request = http::request<http::string_body>;

/// Failure of an operation on a client connection.
struct connection_fault {
    support::error error;
    bool retryable = false; ///< Sending the request again on another connection is safe.
};

/// One connection of the HTTP client. All members but `close` are used on its strand only.
struct http_connection : std::enable_shared_from_this<http_connection> {
    explicit http_connection(const executor& context);

    /// Closes the socket at `when`, which fails the operations in flight.
    void set_deadline(deadline::time_point when);
    void close_now();
    /// Safe from any thread.
    void close();

    /// Returns false if the server has closed the idle connection or sent unsolicited bytes.
    [[nodiscard]] bool is_reusable();

    /// Connects if necessary, and writes the request.
    awaitable<std::optional<connection_fault>>
    send(tcp::endpoint address, std::shared_ptr<const outgoing_request> request);

    /// Returns the fault for a failed read of a response. `started` is whether a byte of it
    /// arrived.
    connection_fault read_fault(const boost::system::error_code& code, bool started,
                                http::verb method);

    executor strand;
    tcp::socket socket;
    deadline timer;
    /// Holds heads, chunk heads and trailers. A larger one fails the connection.
    boost::beast::flat_buffer buffer{std::size_t{128} * 1024};
    bool reused = false;       ///< The connection has carried an earlier exchange.
    bool echoes_ids = false;   ///< The server has echoed the id of a request.
    bool write_failed = false; ///< The request was written only in part; prevents reuse.
};

} // namespace dragonflystair::net
