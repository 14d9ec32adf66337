#include "http_connection.h"

#include "run_on.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <string>

namespace dragonflystair::net {

using support::error;
using support::error_kind;

http_connection::http_connection(const executor& context)
    : strand(boost::asio::make_strand(context)), socket(strand), timer(strand) {}

void http_connection::set_deadline(deadline::time_point when) {
    timer.arm(when, weak_from_this(), [this] { close_now(); });
}

void http_connection::close_now() {
    boost::system::error_code ignored;
    socket.close(ignored);
}

void http_connection::close() {
    boost::asio::dispatch(strand, [self = shared_from_this()] { self->close_now(); });
}

bool http_connection::is_reusable() {
    if (!socket.is_open() || buffer.size() > 0) {
        return false;
    }
    boost::system::error_code code;
    socket.non_blocking(true, code);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == boost::asio::error::would_block;
}

awaitable<std::optional<connection_fault>>
http_connection::send(tcp::endpoint address, std::shared_ptr<const outgoing_request> request) {
    if (!socket.is_open()) {
        const auto [code] = co_await socket.async_connect(address, no_throw);
        if (code) {
            co_return connection_fault{
                error{error_kind::unavailable,
                      "connect: " + (timer.expired() ? "timed out" : code.message()),
                      {}}};
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
    }
    const auto [code, written] = co_await http::async_write(socket, *request, no_throw);
    if (!code) {
        co_return std::nullopt;
    }
    if (written == 0) {
        co_return connection_fault{error{error_kind::unavailable, "write: " + code.message(), {}},
                                   reused && !timer.expired()};
    }
    write_failed = true;
    // A server may respond and close before it has read the whole request, so the response is read
    // even after a partial write. After a timeout, the socket is closed and that read fails
    // immediately.
    co_return std::nullopt;
}

connection_fault http_connection::read_fault(const boost::system::error_code& code, bool started,
                                             http::verb method) {
    if (timer.expired()) {
        return {error{error_kind::unknown, "no complete response within the time limit", {}}};
    }
    const bool ended = code == http::error::end_of_stream || code == http::error::partial_message;
    if (!ended && code.category() == make_error_code(http::error::end_of_stream).category()) {
        return {error{error_kind::malformed, "response: " + code.message(), {}}};
    }
    return {error{error_kind::unknown, "response: " + code.message(), {}},
            reused && !started && method == http::verb::get};
}

} // namespace dragonflystair::net
