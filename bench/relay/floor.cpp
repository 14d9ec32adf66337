#include "floor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <utility>

namespace bench {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

/// Forwards the response as it arrives. Returns false if either side fails or the response does
/// not keep the connection alive.
asio::awaitable<bool> copy_response(tcp::socket& from, tcp::socket& to) {
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    auto [error, head_bytes] = co_await http::async_read_header(from, buffer, parser, no_throw);
    if (error) {
        co_return false;
    }
    http::response_serializer<http::buffer_body> serializer(parser.get());
    co_await http::async_write_header(to, serializer, no_throw);
    std::array<char, 4096> block{};
    do {
        auto& body = parser.get().body();
        body.data = block.data();
        body.size = block.size();
        auto [read_error, read] = co_await http::async_read_some(from, buffer, parser, no_throw);
        if (read_error && read_error != http::error::need_buffer) {
            co_return false;
        }
        body.size = block.size() - body.size;
        body.data = block.data();
        body.more = !parser.is_done();
        if (body.size == 0 && body.more) {
            // Only a chunk header was read; writing an empty chunk would end the response.
            continue;
        }
        if (body.size == 0) {
            body.data = nullptr;
        }
        auto [write_error, written] = co_await http::async_write(to, serializer, no_throw);
        if (write_error && write_error != http::error::need_buffer) {
            co_return false;
        }
    } while (!parser.is_done());
    co_return parser.get().keep_alive();
}

asio::awaitable<void> serve(tcp::socket caller, tcp::endpoint upstream) {
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        auto [error, read] = co_await http::async_read(caller, buffer, request, no_throw);
        if (error) {
            co_return;
        }
        tcp::socket engine(caller.get_executor());
        auto [connect_error] = co_await engine.async_connect(upstream, no_throw);
        if (connect_error) {
            co_return;
        }
        engine.set_option(tcp::no_delay(true));
        co_await http::async_write(engine, request, no_throw);
        const bool keep_alive = co_await copy_response(engine, caller);
        if (!keep_alive) {
            co_return;
        }
    }
}

asio::awaitable<void> accept_all(tcp::acceptor& acceptor, tcp::endpoint upstream) {
    for (;;) {
        auto [error, caller] = co_await acceptor.async_accept(no_throw);
        if (error) {
            co_return;
        }
        caller.set_option(tcp::no_delay(true));
        asio::co_spawn(acceptor.get_executor(), serve(std::move(caller), upstream), asio::detached);
    }
}

} // namespace

void serve_floor(const std::string& upstream) {
    const auto colon = upstream.rfind(':');
    const tcp::endpoint engine(asio::ip::make_address(upstream.substr(0, colon)),
                               static_cast<std::uint16_t>(std::stoul(upstream.substr(colon + 1))));
    asio::io_context io(1);
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    fmt::print("floor=127.0.0.1:{}\n", acceptor.local_endpoint().port());
    std::fflush(stdout);
    asio::co_spawn(io, accept_all(acceptor, engine), asio::detached);
    io.run();
}

} // namespace bench
