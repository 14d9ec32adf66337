#include "http_client_stream.h"

#include "run_on.h"

#include <boost/beast/http/read.hpp>

#include <cstddef>
#include <utility>

namespace dragonflystair::net {

using support::error;
using support::error_kind;

namespace {

/// Holds several events of tens of bytes each. A larger chunk takes several reads.
constexpr std::size_t read_buffer_bytes = std::size_t{8} * 1024;

error ended_before_request() {
    return {error_kind::unknown, "response without a length ended before the request was sent", {}};
}

/// Reads the next part of the body; runs on the connection's strand.
awaitable<async_result<std::optional<std::string>>>
read_part(std::shared_ptr<http_connection> connection,
          std::shared_ptr<http_client_stream::body_parser> parser,
          std::chrono::milliseconds timeout) {
    std::string part(read_buffer_bytes, '\0');
    connection->set_deadline(std::chrono::steady_clock::now() + timeout);
    while (!parser->is_done()) {
        auto& body = parser->get().body();
        body.data = part.data();
        body.size = part.size();
        const auto [code, bytes] = co_await http::async_read_some(
            connection->socket, connection->buffer, *parser, no_throw);
        const std::size_t received = part.size() - body.size;
        if (received > 0) {
            connection->timer.disarm();
            part.resize(received);
            co_return std::optional<std::string>(std::move(part));
        }
        if (code && code != http::error::need_buffer) {
            auto fault = co_await connection->read_fault(code, true, http::verb::unknown);
            co_return std::move(fault.error);
        }
    }
    connection->timer.disarm();
    if (parser->need_eof() && !co_await connection->server_has_request()) {
        co_return ended_before_request();
    }
    co_return std::optional<std::string>();
}

} // namespace

http_client_stream::http_client_stream(std::shared_ptr<http_connection> connection,
                                       std::shared_ptr<body_parser> parser)
    : connection_(std::move(connection)), parser_(std::move(parser)) {
    head_.status = static_cast<int>(parser_->get().result_int());
    head_.headers = headers_of(parser_->get());
}

http_client_stream::~http_client_stream() {
    connection_->close();
}

awaitable<async_result<std::optional<std::string>>>
http_client_stream::read(std::chrono::milliseconds timeout) {
    const executor strand = connection_->strand;
    auto work = read_part(connection_, parser_, timeout);
    co_return co_await run_on(strand, std::move(work));
}

void http_client_stream::close() {
    connection_->close();
}

} // namespace dragonflystair::net
