#include "http_session.h"
#include "platform/call_headers.h"
#include "platform/decode.h"
#include "targets.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <sys/socket.h>

#include <array>
#include <fcntl.h>
#include <memory>
#include <unistd.h>
#include <utility>

namespace dragonflystair::fuzz {

namespace {

/// Fits into the buffer of a socket, so that writing it does not wait for the reader.
constexpr std::size_t max_input_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_body_bytes = std::size_t{16} * 1024;

net::http_server_limits limits() {
    net::http_server_limits chosen;
    chosen.body_bytes = max_body_bytes;
    return chosen;
}

net::awaitable<void> handle(net::http_exchange& exchange) {
    const auto& request = exchange.request();
    require(request.body.size() <= max_body_bytes, "a body is within its limit");
    require(request.headers.size() <= limits().header_fields, "a head is within its limit");
    const auto call = platform::decode_call(request);
    platform::added_call_headers added;
    added.endpoint = "endpoint-1";
    added.resume_after = call.last_event_id;
    const auto text = platform::render_call(request, added);
    require(text.ends_with("\r\n\r\n" + request.body), "a body follows an empty line");
    net::http_response response;
    response.body = "done";
    co_await exchange.respond(std::move(response));
}

/// Reads what the session has written. Returns false once it has closed the connection.
bool discard_output(int socket) {
    std::array<char, 4096> bytes{};
    while (true) {
        const auto count = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count <= 0) {
            return count < 0 && errno == EAGAIN;
        }
    }
}

} // namespace

void run_requests(std::string_view input) {
    input = input.substr(0, max_input_bytes);
    std::array<int, 2> pair{};
    require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair.data()) == 0,
            "sockets exist");
    const auto [own, other] = pair;
    boost::asio::io_context context(1);
    support::counters counters;
    auto state = std::make_shared<net::http_server_state>(
        limits(), handle, counters, net::byte_budget::limits{std::size_t{1} << 20, 0, 4},
        context.get_executor(), net::http_server_options{});
    const net::executor strand = boost::asio::make_strand(context);
    net::tcp::socket socket(strand);
    socket.assign(net::tcp::v4(), other);
    auto session = std::make_shared<net::http_session>(std::move(socket), state);
    require(state->registry.add(session, "caller"), "one connection has room");
    session->start();
    const std::weak_ptr<net::http_session> running = session;
    session.reset();
    const auto written = ::send(own, input.data(), input.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    require(written == static_cast<ssize_t>(input.size()), "the input fits into the socket");
    ::shutdown(own, SHUT_WR);
    while (!running.expired() && discard_output(own)) {
        context.restart();
        context.run_one();
        context.poll();
    }
    ::close(own);
    if (const auto left = running.lock()) {
        left->close();
    }
    // Timers of the server may stay, so the context does not run out of work.
    for (int step = 0; step < 100 && !running.expired(); ++step) {
        context.restart();
        context.run_one();
    }
    require(running.expired(), "a session ends with its connection");
    require(state->registry.held() == 0, "a closed session holds nothing");
}

} // namespace dragonflystair::fuzz
