#include "http_connection.h"

#include "run_on.h"
#include "send_queue.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <string>

namespace dragonflystair::net {

using support::error;
using support::error_kind;

namespace {

/// Time allowed for the completion of a write that another thread may be about to deliver. A server
/// that responds before it reads the whole request delays its response by this time.
constexpr std::chrono::milliseconds max_completion_delay{20};

} // namespace

http_connection::http_connection(const executor& context)
    : strand(boost::asio::make_strand(context)), socket(strand), timer(strand),
      write_ended_(strand) {}

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
    start_write(request);
    co_return std::nullopt;
}

void http_connection::start_write(const std::shared_ptr<const outgoing_request>& request) {
    const auto serializer = std::make_shared<http::request_serializer<http::string_body>>(*request);
    writing_ = false;
    written_bytes_ = 0;
    write_error_ = {};
    // Written at once as far as the socket takes it: another thread may deliver the completion of
    // an asynchronous write after the response has been read.
    socket.non_blocking(true, write_error_);
    while (!write_error_ && !serializer->is_done()) {
        written_bytes_ += http::write_some(socket, *serializer, write_error_);
    }
    if (write_error_ != boost::asio::error::would_block) {
        return;
    }
    writing_ = true;
    write_error_ = {};
    http::async_write(socket, *serializer,
                      [self = shared_from_this(), request,
                       serializer](const boost::system::error_code& code, std::size_t bytes) {
                          self->writing_ = false;
                          self->written_bytes_ += bytes;
                          self->write_error_ = code;
                          self->write_ended_.cancel();
                      });
}

awaitable<bool> http_connection::server_has_request() {
    if (writing_) {
        write_ended_.expires_after(max_completion_delay);
        co_await write_ended_.async_wait(no_throw);
    }
    co_return !writing_ && !write_error_ && is_send_queue_empty(socket.native_handle());
}

awaitable<connection_fault> http_connection::read_fault(boost::system::error_code code,
                                                        bool started, http::verb method) {
    const bool timed_out = timer.expired();
    close_now();
    while (writing_) {
        write_ended_.expires_at(std::chrono::steady_clock::time_point::max());
        co_await write_ended_.async_wait(no_throw);
    }
    co_return fault_of(code, started, timed_out, method);
}

connection_fault http_connection::fault_of(const boost::system::error_code& code, bool started,
                                           bool timed_out, http::verb method) const {
    if (write_error_ && written_bytes_ == 0) {
        return {error{error_kind::unavailable, "write: " + write_error_.message(), {}},
                reused && !timed_out};
    }
    if (timed_out) {
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
