#pragma once

#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/problem.h"

#include "beast_message.h"
#include "deadline.h"
#include "limit_log.h"
#include "session_registry.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

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
    http_server_state(http_server_limits chosen, http_handler called, support::counters& counted,
                      byte_budget::limits budget, const executor& context,
                      http_server_options options)
        : current_limits(std::make_shared<const http_server_limits>(chosen)),
          handler(std::move(called)), check_head(std::move(options.check_head)), counters(counted),
          registry(budget),
          limits_reached(std::make_shared<limit_log>(context, std::move(options.name), counted)) {}

    /// Returns the current limits, which may change between two requests.
    [[nodiscard]] http_server_limits limits() const { return *current_limits.load(); }

    std::atomic<std::shared_ptr<const http_server_limits>> current_limits;
    http_handler handler;
    std::function<std::optional<http_response>(const http_request&)> check_head;
    support::counters& counters;
    session_registry registry;
    std::shared_ptr<limit_log> limits_reached;
    std::atomic<std::size_t> open_exchanges{0};
    std::atomic<bool> shutting_down{false};
};

/// One connection of the HTTP server. All private members are used on its strand only.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(tcp::socket socket, std::shared_ptr<http_server_state> state);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /// Sets the identifier in the registry, before the start.
    void set_id(byte_budget::holder id) { id_ = id; }

    void start();

    /// Closes the connection after the shutdown idle timeout if it is idle. Safe from any thread.
    void begin_shutdown();

    /// Closes the connection. Safe from any thread.
    void close();

    /// Closes the connection to make room for others, unless its request is being served and its
    /// caller reads. A request whose body is in transfer is refused. Safe from any thread.
    void evict();

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
    using request_parser = http::request_parser<http::buffer_body>;

    awaitable<void> run();
    awaitable<bool> wait_for_request();
    awaitable<bool> serve_request();
    void end_request();

    // Input (http_session_input.cpp).
    awaitable<std::optional<http_request>> read_request();
    awaitable<boost::system::error_code> read_head(request_parser& parser);
    awaitable<boost::system::error_code> read_body(request_parser& parser, std::string& body);
    awaitable<boost::system::error_code> read_more();
    boost::system::error_code parse_head(request_parser& parser);
    boost::system::error_code parse_body(request_parser& parser, std::string& body);
    bool grow_body(const request_parser& parser, std::string& body, std::size_t more);
    http_request take_head(const request_parser& parser);
    [[nodiscard]] bool body_has_arrived(const request_parser& parser) const;
    std::optional<http_response> refusal_of_head(const http_request& head,
                                                 const request_parser& parser);
    awaitable<void> refuse_from_head(const request_parser& parser, http_request request,
                                     http_response refusal);
    awaitable<bool> discard_body(std::uint64_t left);
    bool hold();
    boost::system::error_code refuse_for_room();
    awaitable<bool> send_continue(request_parser& parser);
    awaitable<void> reject(boost::system::error_code code);
    awaitable<void> run_handler(http_request request);
    awaitable<void> drain_input();

    void set_read_timeout(std::chrono::milliseconds timeout);
    void begin_write();
    void end_write(const boost::system::error_code& code);
    void watch_for_disconnect();
    bool hold_ahead();
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
    bool busy_ = false;             ///< A request is being served.
    bool writing_ = false;          ///< A write to the caller has begun and not ended.
    bool evicted_ = false;          ///< Closed to make room for others.
    bool head_read_ = false;        ///< The head of the current request has arrived.
    bool answered_early_ = false;   ///< Refused from its head; the connection can be reused.
    std::optional<problem> fault_;  ///< Why the input is refused, where Beast has no code for it.
    std::size_t request_bytes_ = 0; ///< Head and body of the current request, in memory.
    byte_budget::holder id_ = 0;
    boost::asio::steady_timer watch_ended_timer_;
    std::atomic<bool> disconnected_{false};
    std::mutex hook_mutex_;
    std::function<void()> hook_;
};

} // namespace dragonflystair::net
