#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflystair::net {

using tcp = boost::asio::ip::tcp;

inline constexpr std::string_view end_of_head = "\r\n\r\n";

/// Returns the value of a header in the text of a request; empty if it has none.
inline std::string header_in(std::string_view text, std::string_view name) {
    const auto at = text.find(std::string(name) + ": ");
    if (at == std::string_view::npos) {
        return {};
    }
    const auto value = text.substr(at + name.size() + 2);
    return std::string(value.substr(0, value.find('\r')));
}

/// Blocking connection that a test reads and writes directly.
class raw_connection {
public:
    explicit raw_connection(tcp::socket socket) : socket_(std::move(socket)) {}

    static raw_connection to(std::string_view address) {
        static boost::asio::io_context context;
        const auto colon = address.rfind(':');
        tcp::socket socket(context);
        socket.connect(
            {boost::asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(std::string(address.substr(colon + 1))))});
        return raw_connection(std::move(socket));
    }

    void write(std::string_view bytes) {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }

    /// Reads until the text ends with `end` or the connection closes.
    std::string read_until(std::string_view end) {
        std::string text;
        while (!text.ends_with(end)) {
            char byte = 0;
            boost::system::error_code code;
            boost::asio::read(socket_, boost::asio::buffer(&byte, 1), code);
            if (code) {
                was_reset_ = code == boost::asio::error::connection_reset;
                return text;
            }
            text += byte;
        }
        return text;
    }

    std::string read_all() { return read_until(std::string_view("\0never\0", 7)); }

    /// Reads an exact number of bytes; fewer if the connection closes.
    std::string read_exactly(std::size_t count) {
        std::string text(count, '\0');
        boost::system::error_code code;
        text.resize(boost::asio::read(socket_, boost::asio::buffer(text), code));
        return text;
    }

    /// Closes the connection with a TCP reset.
    void reset() {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    void close() { socket_.close(); }
    /// Returns whether the last `read_until` or `read_all` ended with a TCP reset.
    [[nodiscard]] bool was_reset() const { return was_reset_; }
    /// Ends the written direction only.
    void end_output() {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    /// Ends both directions but keeps the handle, which another thread may use.
    void shut_down() {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
    }

private:
    tcp::socket socket_;
    bool was_reset_ = false;
};

/// Server that runs one script per accepted connection, sequentially, in its own thread.
class scripted_server {
public:
    using script = std::function<void(raw_connection&)>;

    explicit scripted_server(std::vector<script> scripts)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())),
          thread_([this, scripts = std::move(scripts)] {
              for (const auto& item : scripts) {
                  boost::system::error_code code;
                  tcp::socket socket(context_);
                  acceptor_.accept(socket, code);
                  if (code) {
                      return;
                  }
                  ++accepted_;
                  {
                      raw_connection connection(std::move(socket));
                      item(connection);
                  }
                  ++closed_;
              }
          }) {}
    ~scripted_server() { join(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

    /// Waits for the scripts to end; unblocks a pending accept.
    void join() {
        if (!thread_.joinable()) {
            return;
        }
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }
    /// Waits until `count` connections have been closed.
    void wait_for_closed(int count) const {
        while (closed_ < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    [[nodiscard]] int accepted() const { return accepted_; }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string address_;
    std::atomic<int> accepted_{0};
    std::atomic<int> closed_{0};
    std::thread thread_;
};

/// Server that serves each connection by the same script in a thread of its own. Closes all
/// connections when it is destroyed.
class concurrent_server {
public:
    explicit concurrent_server(scripted_server::script serve)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())),
          thread_([this, serve = std::move(serve)] { accept_all(serve); }) {}
    ~concurrent_server() {
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }
    concurrent_server(const concurrent_server&) = delete;
    concurrent_server& operator=(const concurrent_server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] int accepted() const { return accepted_; }

private:
    void accept_all(const scripted_server::script& serve) {
        std::vector<int> handles;
        std::vector<std::unique_ptr<raw_connection>> connections;
        std::vector<std::jthread> threads;
        while (true) {
            boost::system::error_code code;
            tcp::socket socket(context_);
            acceptor_.accept(socket, code);
            if (code) {
                break;
            }
            ++accepted_;
            handles.push_back(socket.native_handle());
            connections.push_back(std::make_unique<raw_connection>(std::move(socket)));
            threads.emplace_back([&serve, connection = connections.back().get()] {
                serve(*connection);
                connection->shut_down();
            });
        }
        for (const auto handle : handles) {
            ::shutdown(handle, SHUT_RDWR);
        }
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::string address_;
    std::atomic<int> accepted_{0};
    std::thread thread_;
};

} // namespace dragonflystair::net
