#include "http_call.h"

#include "dragonflystair/net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <utility>

namespace dragonflystair::scenarios {

http_call::http_call(std::string address, net::http_request request,
                     std::chrono::milliseconds timeout)
    : thread_([this, address = std::move(address), request = std::move(request), timeout] {
          run(address, request, timeout);
      }) {}

http_call::~http_call() {
    wait();
}

void http_call::wait() {
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool http_call::ended() const {
    const std::lock_guard lock(mutex_);
    return ended_;
}

std::string http_call::error() const {
    const std::lock_guard lock(mutex_);
    return error_;
}

net::http_response http_call::response() const {
    const std::lock_guard lock(mutex_);
    return response_;
}

void http_call::run(const std::string& address, const net::http_request& request,
                    std::chrono::milliseconds timeout) {
    boost::asio::io_context io;
    net::http_client client(io.get_executor());
    {
        // Status 0 marks a request without a response.
        const std::lock_guard lock(mutex_);
        response_.status = 0;
    }
    const auto exchange = [&]() -> net::awaitable<std::string> {
        auto opened = co_await client.open_stream(address, request, timeout);
        if (!opened.has_value()) {
            co_return opened.error().message;
        }
        auto& stream = *opened.value();
        {
            const std::lock_guard lock(mutex_);
            response_ = stream.head();
        }
        for (;;) {
            auto piece = co_await stream.read(timeout);
            if (!piece.has_value()) {
                co_return piece.error().message;
            }
            if (!piece.value()) {
                co_return std::string{};
            }
            const std::lock_guard lock(mutex_);
            response_.body += *piece.value();
        }
    };
    boost::asio::co_spawn(io, exchange, [this](const std::exception_ptr&, std::string error) {
        const std::lock_guard lock(mutex_);
        error_ = std::move(error);
    });
    io.run();
    const std::lock_guard lock(mutex_);
    ended_ = true;
}

} // namespace dragonflystair::scenarios
