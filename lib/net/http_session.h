#pragma once

#include "dragonflystair/net/http_server.h"

#include "beast_message.h"
#include "deadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace dragonflystair::net {

using tcp = boost::asio::ip::tcp;

/// State shared by the sessions of a server.
struct http_server_state {
    http_server_state(http_server_limits chosen, http_handler called, support::counters& counted)
        : current_limits(std::make_shared<const http_server_limits>(chosen)),
          handler(std::move(called)), counters(counted) {}

    /// Returns the current limits, which may change between two requests.
    [[nodiscard]] http_server_limits limits() const { return *current_limits.load(); }

    std::atomic<std::shared_ptr<const http_server_limits>> current_limits;
    http_handler handler;
    support::counters& counters;
    std::atomic<std::size_t> open_exchanges{0};
    std::atomic<bool> shutting_down{false};
};

/// One connection of the HTTP server. All private members are used on its strand only.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(tcp::socket socket, std::shared_ptr<http_server_state> state);

    void start();

    /// Closes the connection after the shutdown idle timeout if it is idle. Safe from any thread.
    void begin_shutdown();

    /// Closes the connection. Safe from any thread.
    void close();

    // The members below serve the exchange and are used on the strand.
    [[nodiscard]] const executor& strand() const { return strand_; }
    /// Returns whether the current thread is running the strand.
    [[nodiscard]] bool on_strand() const;
    awaitable<bool> write_response(http::response<http::string_body> message);
    awaitable<bool> write_head(http::response<http::empty_body> message);
    awaitable<bool> write_raw(std::string_view bytes, bool as_chunk);
    awaitable<bool> write_last_chunk();
    [[nodiscard]] bool wants_close() const { return state_->shutting_down || !keep_alive_; }
    [[nodiscard]] bool is_version_1_0() const { return version_1_0_; }
    /// Makes the close of the connection a TCP reset, which discards what has not been sent.
    void reset_on_close() {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    [[nodiscard]] bool is_head_request() const { return head_request_; }

    /// Sets the hook that runs when the caller's connection closes; an empty hook removes it.
    void set_disconnect_hook(std::function<void()> hook);
    [[nodiscard]] bool disconnected() const { return disconnected_; }

private:
    using request_parser = http::request_parser<http::string_body>;

    awaitable<void> run();
    awaitable<bool> wait_for_request();
    awaitable<bool> serve_request();
    awaitable<std::optional<http_request>> read_request();
    awaitable<bool> send_continue(request_parser& parser);
    awaitable<void> reject(boost::system::error_code code);
    awaitable<void> run_handler(http_request request);
    awaitable<void> drain_input();

    void set_read_timeout(std::chrono::milliseconds timeout);
    void set_write_timeout();
    void watch_for_disconnect();
    void detect_closed_connection();
    awaitable<void> stop_watching();
    void report_disconnect();
    void close_now();

    executor strand_;
    tcp::socket socket_;
    std::shared_ptr<http_server_state> state_;
    deadline timer_;
    /// Holds heads, chunk heads, trailers and pipelined input. A request that needs more is
    /// rejected.
    boost::beast::flat_buffer buffer_{std::size_t{256} * 1024};
    bool idle_ = true;
    bool keep_alive_ = true;
    bool version_1_0_ = false;
    bool head_request_ = false;
    bool watching_ = false;
    boost::asio::steady_timer watch_ended_timer_;
    std::atomic<bool> disconnected_{false};
    std::mutex hook_mutex_;
    std::function<void()> hook_;
};

} // namespace dragonflystair::net
