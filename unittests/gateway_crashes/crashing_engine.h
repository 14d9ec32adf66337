#pragma once

#include "dragonflystair/support/json.h"

#include "gateway/endpoint_stand_in.h"
#include "gateway/store_stand_in.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace dragonflystair::gateway {

/// How an engine delimits its responses.
enum class framing {
    chunks,
    connection_close, ///< No length: the response ends with its connection.
};

/// Stand-in of an engine that crashes when it begins to respond to a prompt with a certain part. A
/// crash closes all its connections. It is back after a short time under another id.
class crashing_engine {
    using tcp = boost::asio::ip::tcp;

public:
    static constexpr std::string_view deadly_part = "dead:165";
    static constexpr std::chrono::milliseconds restart_time{50};

    crashing_engine(store_stand_in& store, std::string name, framing framed)
        : store_(store), name_(std::move(name)), framed_(framed), acceptor_(context_),
          restart_(context_) {
        listen(0);
        thread_ = std::thread([this] { context_.run(); });
    }
    ~crashing_engine() {
        context_.stop();
        thread_.join();
    }
    crashing_engine(const crashing_engine&) = delete;
    crashing_engine& operator=(const crashing_engine&) = delete;

    /// Calls whose prompt has the deadly part that have arrived.
    [[nodiscard]] int deadly_calls() const { return deadly_calls_; }

private:
    using socket_pointer = std::shared_ptr<tcp::socket>;
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    void listen(std::uint16_t port) {
        const tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), port);
        acceptor_.open(address.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(address);
        acceptor_.listen();
        ++run_;
        store_.put("keyed.servers", id(),
                   support::json{
                       {"service", "assistant"},
                       {"addr", "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
                       {"zone", "north"},
                       {"slots", 16},
                       {"state", "ready"},
                       {"seq", 0},
                       {"born", run_},
                       {"models", support::json::array({{{"name", "base"},
                                                         {"version", 1},
                                                         {"adapters", support::json::array()}}})}}
                       .dump());
        boost::asio::co_spawn(context_, accept_loop(), boost::asio::detached);
    }

    [[nodiscard]] std::string id() const { return name_ + "-run-" + std::to_string(run_); }

    boost::asio::awaitable<void> accept_loop() {
        boost::system::error_code code;
        while (!code) {
            const auto socket = std::make_shared<tcp::socket>(context_);
            co_await acceptor_.async_accept(
                *socket, boost::asio::redirect_error(boost::asio::use_awaitable, code));
            if (!code) {
                sockets_.insert(socket);
                boost::asio::co_spawn(context_, serve(socket), boost::asio::detached);
            }
        }
    }

    boost::asio::awaitable<void> serve(socket_pointer socket) {
        boost::beast::flat_buffer buffer;
        boost::system::error_code code;
        while (!code && socket->is_open()) {
            request_type request;
            co_await boost::beast::http::async_read(
                *socket, buffer, request,
                boost::asio::redirect_error(boost::asio::use_awaitable, code));
            if (code) {
                break;
            }
            const bool deadly = is_deadly(request) && request["Expect-Instance"] == id();
            const auto response = respond(request);
            co_await boost::asio::async_write(
                *socket, boost::asio::buffer(response),
                boost::asio::redirect_error(boost::asio::use_awaitable, code));
            if (deadly) {
                crash();
            } else if (framed_ == framing::connection_close && !is_report(request)) {
                close(socket);
            }
        }
        close(socket);
        sockets_.erase(socket);
    }

    static bool is_report(const request_type& request) {
        return request.target().starts_with("/dragonflystair/");
    }

    static bool is_deadly(const request_type& request) {
        return request["Prompt-Prefix"].find(deadly_part) != std::string::npos;
    }

    /// Returns the whole response to a sound request, its beginning if the engine crashes.
    std::string respond(const request_type& request) {
        if (is_report(request)) {
            const std::string body =
                R"({"seq":0,"models":[{"name":"base","version":1,"adapters":[]}]})";
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
        }
        if (request["Expect-Instance"] != id()) {
            return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
        }
        deadly_calls_ += is_deadly(request) ? 1 : 0;
        const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: signature\r\nRequest-Id: " +
                                 std::string(request["Request-Id"]) + "\r\n";
        const std::string event = "id: 1\ndata: ab\n\n";
        if (framed_ == framing::connection_close) {
            return head + "Connection: close\r\n\r\n" + event;
        }
        const std::string end = is_deadly(request) ? "" : "0\r\n\r\n";
        return head + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + event + "\r\n" + end;
    }

    static void close(const socket_pointer& socket) {
        boost::system::error_code ignored;
        socket->shutdown(tcp::socket::shutdown_both, ignored);
        socket->close(ignored);
    }

    void crash() {
        const auto port = acceptor_.local_endpoint().port();
        acceptor_.close();
        for (const auto& socket : sockets_) {
            close(socket);
        }
        store_.put("keyed.servers", id(), "");
        restart_.expires_after(restart_time);
        restart_.async_wait([this, port](const boost::system::error_code& code) {
            if (!code) {
                listen(port);
            }
        });
    }

    store_stand_in& store_;
    std::string name_;
    framing framed_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer restart_;
    std::set<socket_pointer> sockets_;
    std::uint64_t run_ = 0;
    std::atomic<int> deadly_calls_{0};
    std::thread thread_;
};

} // namespace dragonflystair::gateway
