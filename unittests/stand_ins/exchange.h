#pragma once

#include "dragonflystair/support/json.h"

#include "notifier.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <string>
#include <string_view>

namespace dragonflystair::stand_ins {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using support::json;

/// A connection of a caller with its current request. Can be dropped or silenced to simulate
/// failures.
class exchange {
public:
    explicit exchange(asio::ip::tcp::socket socket) : stream_(std::move(socket)) {}

    /// Reads the next request; returns false when the connection ends. A silenced connection
    /// discards all input until the caller closes it.
    awaitable<bool> read();

    [[nodiscard]] bool is(http::verb method, std::string_view path) const;
    [[nodiscard]] http::verb method() const { return request_.method(); }
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string header(std::string_view name) const;
    /// Returns the number in a query parameter or header, or `fallback` if absent. Throws
    /// std::runtime_error if the value is not a number.
    [[nodiscard]] std::uint64_t query_number(std::string_view name, std::uint64_t fallback) const;
    [[nodiscard]] std::uint64_t header_number(std::string_view name, std::uint64_t fallback) const;
    /// Returns the body as JSON. Throws json::exception if it is malformed.
    [[nodiscard]] json body() const { return json::parse(request_.body()); }
    /// Returns whether the connection stays open after the request. A silenced connection does so
    /// even if the request asked to close it.
    [[nodiscard]] bool keep_alive() const { return !closed_ && (silent_ || request_.keep_alive()); }

    /// Adds a header to the next response.
    void add_header(const std::string& name, std::string value) {
        headers_[name] = std::move(value);
    }
    awaitable<void> respond(http::status status, json body);
    /// Sends a copy of the previous response on the connection, if any, before the next one.
    void repeat_previous() { repeats_ = true; }
    /// Starts a chunked response of server-sent events.
    awaitable<void> begin_stream();
    awaitable<void> write(std::string bytes);
    awaitable<void> end_stream();

    /// Closes the connection without a response.
    void drop();
    /// Stops sending on this connection and leaves it open.
    void silence() { silent_ = true; }
    /// Returns whether the caller has closed the connection or it was dropped. A silenced
    /// connection does not show that the caller closed it, like a broken network path.
    [[nodiscard]] bool caller_disconnected();

private:
    [[nodiscard]] bool mute() const { return closed_ || silent_; }
    template <class Buffers> awaitable<void> send(Buffers buffers);

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::map<std::string, std::string> headers_;
    http::response<http::string_body> previous_;
    bool has_previous_ = false;
    bool repeats_ = false; ///< Sends `previous_` before the next response.
    bool closed_ = false;
    bool silent_ = false;
};

} // namespace dragonflystair::stand_ins
