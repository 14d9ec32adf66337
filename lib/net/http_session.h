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

/// What the sessions of one server share.
struct http_server_state {
    http_server_state(http_server_limits chosen, http_handler called, support::counters& counted)
        : current(std::make_shared<const http_server_limits>(chosen)), handler(std::move(called)),
          counters(counted) {}

    /// The limits in force; they may change between two requests.
    [[nodiscard]] http_server_limits limits() const { return *current.load(); }

    std::atomic<std::shared_ptr<const http_server_limits>> current;
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

    /// Closes the connection soon if it is idle. Safe from any thread.
    void begin_shutdown();

    /// Closes the connection. Safe from any thread.
    void close();

    /// For the exchange; on the strand.
    [[nodiscard]] const executor& strand() const { return strand_; }
    /// Whether the caller runs on the strand already.
    [[nodiscard]] bool on_strand() const;
    awaitable<bool> write_response(http::response<http::string_body> message);
    awaitable<bool> write_head(http::response<http::empty_body> message);
    awaitable<bool> write_raw(std::string_view bytes, bool as_chunk);
    awaitable<bool> write_last_chunk();
    [[nodiscard]] bool wants_close() const { return state_->shutting_down || !keep_alive_; }
    [[nodiscard]] bool is_version_1_0() const { return version_1_0_; }
    [[nodiscard]] bool is_head_request() const { return head_request_; }

    /// The hook runs when the caller's connection closes; an empty one removes it.
    void watch_disconnect(std::function<void()> hook);
    [[nodiscard]] bool disconnected() const { return disconnected_; }

private:
    using request_parser = http::request_parser<http::string_body>;

    awaitable<void> run();
    awaitable<bool> wait_for_request();
    awaitable<bool> serve_request();
    awaitable<std::optional<http_request>> read_request();
    awaitable<bool> send_continue(request_parser& parser);
    awaitable<void> refuse(boost::system::error_code code);
    awaitable<void> run_handler(http_request request);
    awaitable<void> linger();

    void limit_reads(std::chrono::milliseconds timeout);
    void limit_writes();
    void watch_reads();
    void note_closed_peer();
    awaitable<void> end_watch();
    void note_disconnect();
    void close_now();

    executor strand_;
    tcp::socket socket_;
    std::shared_ptr<http_server_state> state_;
    deadline timer_;
    /// Holds heads, chunk heads, trailers and what a caller sends ahead; more is refused.
    boost::beast::flat_buffer buffer_{std::size_t{256} * 1024};
    bool idle_ = true;
    bool keep_alive_ = true;
    bool version_1_0_ = false;
    bool head_request_ = false;
    bool watching_ = false;
    boost::asio::steady_timer watch_ended_;
    std::atomic<bool> disconnected_{false};
    std::mutex hook_mutex_;
    std::function<void()> hook_;
};

} // namespace dragonflystair::net
