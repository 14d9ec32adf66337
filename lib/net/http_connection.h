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

/// How an operation on a client connection ended.
struct connection_fault {
    support::error error;
    bool replaceable = false; ///< Another connection may carry the request without any risk.
};

/// One connection of the HTTP client. All members but `close` are used on its strand only.
struct http_connection : std::enable_shared_from_this<http_connection> {
    explicit http_connection(const executor& context);

    /// Closes the socket at `when`; operations under way then fail.
    void limit(deadline::time_point when);
    void close_now();
    /// Safe from any thread.
    void close();

    /// False if the server has closed a kept connection or sent bytes that nobody asked for.
    [[nodiscard]] bool is_fresh();

    /// Connects unless connected, and writes the request.
    awaitable<std::optional<connection_fault>>
    send(tcp::endpoint address, std::shared_ptr<const outgoing_request> request);

    /// The fault for a failed read of an answer. `started` tells whether a byte of it came.
    connection_fault read_fault(const boost::system::error_code& code, bool started,
                                http::verb method);

    executor strand;
    tcp::socket socket;
    deadline timer;
    /// Holds heads, chunk heads and trailers; a longer one ends the connection.
    boost::beast::flat_buffer buffer{std::size_t{128} * 1024};
    bool kept = false;         ///< The connection has carried an exchange before.
    bool write_failed = false; ///< The request was written in part; never kept again.
};

} // namespace dragonflystair::net
