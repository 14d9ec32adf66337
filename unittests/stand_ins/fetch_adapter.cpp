#include "fetch_adapter.h"

#include "part.h"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dragonflystair::stand_ins {

awaitable<http::status> fetch_adapter(std::string address, std::string adapter) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const auto [refused] = co_await stream.async_connect(endpoint_of(address), returned);
    http::request<http::empty_body> request(http::verb::get, "/v1/adapters/" + adapter, 11);
    request.set(http::field::host, address);
    request.keep_alive(false);
    const auto [unsent, sent] = co_await http::async_write(stream, request, returned);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [lost, received] = co_await http::async_read(stream, buffer, response, returned);
    co_return refused || unsent || lost ? http::status::service_unavailable : response.result();
}

} // namespace dragonflystair::stand_ins
