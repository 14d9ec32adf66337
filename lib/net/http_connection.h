#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/support/error.h"

#include "beast_message.h"
#include "deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

    /// Connects if necessary, and starts to write the request. The response is read at the same
    /// time, since a server may respond before it has read the whole request.
    awaitable<std::optional<connection_fault>>
    send(tcp::endpoint address, std::shared_ptr<const outgoing_request> request);

    /// Returns whether the server has received the whole request, as far as TCP tells.
    awaitable<bool> server_has_request();

    /// Closes the connection and returns the fault for a failed read of a response. `started` is
    /// whether a byte of it arrived.
    awaitable<connection_fault> read_fault(boost::system::error_code code, bool started,
                                           http::verb method);

    executor strand;
    tcp::socket socket;
    deadline timer;
    /// Holds heads, chunk heads and trailers. A larger one fails the connection.
    boost::beast::flat_buffer buffer{std::size_t{128} * 1024};
    bool reused = false;     ///< The connection has carried an earlier exchange.
    bool echoes_ids = false; ///< The server has echoed the id of a request.

private:
    void start_write(const std::shared_ptr<const outgoing_request>& request);
    [[nodiscard]] connection_fault fault_of(const boost::system::error_code& code, bool started,
                                            bool timed_out, http::verb method) const;

    bool writing_ = false;
    std::size_t written_bytes_ = 0;         ///< Of the last request, once `writing_` is false.
    boost::system::error_code write_error_; ///< Of the last request.
    boost::asio::steady_timer write_ended_; ///< Cancelled when a write ends.
};

} // namespace dragonflystair::net
