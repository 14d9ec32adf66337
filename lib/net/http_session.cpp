#include "http_session.h"

#include "dragonflystair/net/problem.h"
#include "dragonflystair/net/spawn.h"

#include "http_session_exchange.h"
#include "run_on.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>
#include <utility>

namespace dragonflystair::net {

namespace {

constexpr std::size_t read_bytes = 4096;

/// Limit of pipelined input during a response; above it, the connection closes after the response.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

/// Limits for draining the input of a rejected request, so that the caller can read the error
/// response: closing with unread input would reset the connection and discard the response.
constexpr std::chrono::milliseconds drain_timeout{1'000};
constexpr std::size_t max_drained_bytes = std::size_t{4} * 1024 * 1024;

problem problem_for(const boost::system::error_code& code, bool timed_out) {
    if (timed_out) {
        return {408, "slow_request", "the request was not sent within the time limit"};
    }
    if (code == http::error::body_limit) {
        return {413, "body_too_large", "the body is over the size limit"};
    }
    if (code == http::error::header_limit || code == http::error::buffer_overflow) {
        return {431, "header_too_large", "the headers are over the size limit"};
    }
    return {400, "malformed_http", "the request is not valid HTTP"};
}

} // namespace

http_session::http_session(tcp::socket socket, std::shared_ptr<http_server_state> state)
    : strand_(socket.get_executor()), socket_(std::move(socket)), state_(std::move(state)),
      timer_(strand_), watch_ended_timer_(strand_) {}

bool http_session::on_strand() const {
    const auto* strand = strand_.target<boost::asio::strand<executor>>();
    return strand != nullptr && strand->running_in_this_thread();
}

void http_session::start() {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    spawn(strand_, "caller_session", [self = shared_from_this()] { return self->run(); });
}

void http_session::begin_shutdown() {
    boost::asio::dispatch(strand_, [self = shared_from_this()] {
        if (self->idle_) {
            self->set_read_timeout(self->state_->limits().shutdown_idle_timeout);
        }
    });
}

void http_session::close() {
    boost::asio::dispatch(strand_, [self = shared_from_this()] { self->close_now(); });
}

awaitable<void> http_session::run() {
    const auto self = shared_from_this();
    while (co_await wait_for_request()) {
        const bool keep_open = co_await serve_request();
        if (!keep_open) {
            break;
        }
    }
    close_now();
}

/// Waits for the first byte of a request. Returns false if the connection closes before it.
awaitable<bool> http_session::wait_for_request() {
    if (buffer_.size() > 0) {
        co_return true;
    }
    idle_ = true;
    set_read_timeout(state_->shutting_down ? state_->limits().shutdown_idle_timeout
                                           : state_->limits().idle_timeout);
    const auto [code, bytes] =
        co_await socket_.async_read_some(buffer_.prepare(read_bytes), no_throw);
    idle_ = false;
    buffer_.commit(bytes);
    co_return !code;
}

/// Serves one request. Returns false if the connection must close after it.
awaitable<bool> http_session::serve_request() {
    struct open_exchange {
        explicit open_exchange(std::atomic<std::size_t>& used) : count(used) { ++count; }
        ~open_exchange() { --count; }
        open_exchange(const open_exchange&) = delete;
        open_exchange& operator=(const open_exchange&) = delete;
        std::atomic<std::size_t>& count;
    };
    const open_exchange counted(state_->open_exchanges);
    auto request = co_await read_request();
    if (!request) {
        co_return false;
    }
    timer_.disarm();
    detect_closed_connection();
    watch_for_disconnect();
    co_await run_handler(std::move(*request));
    co_await stop_watching();
    co_return keep_alive_ && !disconnected_ && socket_.is_open();
}

/// Reads one request. Rejects it and returns nullopt if it exceeds a limit or is malformed.
awaitable<std::optional<http_request>> http_session::read_request() {
    set_read_timeout(state_->limits().request_timeout);
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(state_->limits().header_bytes));
    parser.body_limit(state_->limits().body_bytes);
    boost::system::error_code code;
    {
        const auto [error, bytes] =
            co_await http::async_read_header(socket_, buffer_, parser, no_throw);
        code = error;
    }
    // The time limit may expire while the completion of a successful read is queued, and then the
    // read does not report an error.
    if (!code && timer_.expired()) {
        code = boost::asio::error::timed_out;
    }
    if (!code) {
        const bool sent = co_await send_continue(parser);
        if (!sent) {
            co_return std::nullopt;
        }
        const auto [error, bytes] = co_await http::async_read(socket_, buffer_, parser, no_throw);
        code = error;
    }
    if (code) {
        co_await reject(code);
        co_return std::nullopt;
    }
    auto message = parser.release();
    keep_alive_ = message.keep_alive();
    version_1_0_ = message.version() < 11;
    head_request_ = message.method() == http::verb::head;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = headers_of(message);
    request.body = std::move(message.body());
    co_return request;
}

/// Responds to `Expect: 100-continue`, which some callers send before a large body.
awaitable<bool> http_session::send_continue(request_parser& parser) {
    const auto expect = parser.get()[http::field::expect];
    if (parser.is_done() || !boost::beast::iequals(expect, "100-continue")) {
        co_return true;
    }
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto [code, bytes] =
        co_await boost::asio::async_write(socket_, boost::asio::buffer(text), no_throw);
    co_return !code;
}

awaitable<void> http_session::reject(boost::system::error_code code) {
    const bool timed_out = timer_.expired();
    const bool caller_disconnected =
        code == http::error::end_of_stream || code == http::error::partial_message ||
        code.category() != make_error_code(http::error::end_of_stream).category();
    if (caller_disconnected && !timed_out) {
        co_return;
    }
    const auto rejection = problem_for(code, timed_out);
    state_->counters.increment("refusals_total", rejection.reason);
    const auto response = render(rejection);
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    copy_headers(response.headers, message);
    message.body() = response.body;
    message.keep_alive(false);
    message.prepare_payload();
    const bool written = co_await write_response(std::move(message));
    if (written) {
        co_await drain_input();
    }
}

/// Runs the handler. Responds with 500 if it throws or sends no response.
awaitable<void> http_session::run_handler(http_request request) {
    http_session_exchange exchange(*this, std::move(request));
    try {
        co_await state_->handler(exchange);
    } catch (...) {
        log_unhandled("request", std::current_exception());
        exchange.set_failed();
    }
    set_disconnect_hook({});
    const bool complete = co_await exchange.finish();
    if (exchange.failed()) {
        state_->counters.increment("refusals_total", "internal_error");
    }
    if (!complete) {
        keep_alive_ = false;
        close_now();
    }
}

/// Discards input until the caller closes the connection, so that it can read the last response.
awaitable<void> http_session::drain_input() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    set_read_timeout(drain_timeout);
    for (std::size_t discarded = 0; discarded < max_drained_bytes && !timer_.expired();) {
        buffer_.clear();
        const auto [code, bytes] =
            co_await socket_.async_read_some(buffer_.prepare(read_bytes), no_throw);
        if (code) {
            co_return;
        }
        discarded += bytes;
    }
}

awaitable<bool> http_session::write_response(http::response<http::string_body> message) {
    set_write_timeout();
    if (message.need_eof()) {
        keep_alive_ = false;
    }
    const auto [code, bytes] = co_await http::async_write(socket_, message, no_throw);
    timer_.disarm();
    if (code) {
        report_disconnect();
    }
    co_return !code;
}

awaitable<bool> http_session::write_head(http::response<http::empty_body> message) {
    set_write_timeout();
    http::response_serializer<http::empty_body> serializer(message);
    const auto [code, bytes] = co_await http::async_write_header(socket_, serializer, no_throw);
    timer_.disarm();
    if (code) {
        report_disconnect();
    }
    co_return !code;
}

awaitable<bool> http_session::write_raw(std::string_view bytes, bool as_chunk) {
    if (bytes.empty()) {
        // An empty chunk would end the stream.
        co_return !disconnected_;
    }
    set_write_timeout();
    const auto plain = boost::asio::buffer(bytes);
    const auto chunk = http::make_chunk(plain);
    boost::system::error_code code;
    if (as_chunk) {
        const auto [error, written] = co_await boost::asio::async_write(socket_, chunk, no_throw);
        code = error;
    } else {
        const auto [error, written] = co_await boost::asio::async_write(socket_, plain, no_throw);
        code = error;
    }
    timer_.disarm();
    if (code) {
        report_disconnect();
    }
    co_return !code;
}

awaitable<bool> http_session::write_last_chunk() {
    set_write_timeout();
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    const auto [code, bytes] =
        co_await boost::asio::async_write(socket_, boost::asio::buffer(last_chunk), no_throw);
    timer_.disarm();
    if (code) {
        report_disconnect();
    }
    co_return !code;
}

/// Cancels reads at the time limit but leaves the connection open, so that an error response can be
/// sent.
void http_session::set_read_timeout(std::chrono::milliseconds timeout) {
    timer_.arm(std::chrono::steady_clock::now() + timeout, weak_from_this(), [this] {
        boost::system::error_code ignored;
        socket_.cancel(ignored);
    });
}

void http_session::set_write_timeout() {
    timer_.arm(std::chrono::steady_clock::now() + state_->limits().write_timeout, weak_from_this(),
               [this] { close_now(); });
}

/// Reads while a response is in progress: the end of input shows that the caller has disconnected.
/// Bytes that arrive belong to the next request.
void http_session::watch_for_disconnect() {
    if (buffer_.size() > max_pipelined_bytes) {
        keep_alive_ = false;
        return;
    }
    watching_ = true;
    socket_.async_read_some(
        buffer_.prepare(read_bytes),
        boost::asio::bind_executor(strand_, [self = shared_from_this()](
                                                boost::system::error_code code, std::size_t bytes) {
            self->watching_ = false;
            self->buffer_.commit(bytes);
            self->watch_ended_timer_.cancel();
            if (code == boost::asio::error::operation_aborted && self->socket_.is_open()) {
                return;
            }
            if (code) {
                self->report_disconnect();
                return;
            }
            self->watch_for_disconnect();
        }));
}

/// Detects a caller that disconnected before its request was read, as when this process was
/// suspended for a while. The pending read would report it only after the handler has started.
void http_session::detect_closed_connection() {
    if (buffer_.size() > 0) {
        return;
    }
    boost::system::error_code code;
    char byte = 0;
    socket_.non_blocking(true, code);
    socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    if (code && code != boost::asio::error::would_block) {
        report_disconnect();
    }
}

awaitable<void> http_session::stop_watching() {
    boost::system::error_code ignored;
    while (watching_) {
        socket_.cancel(ignored);
        watch_ended_timer_.expires_at(std::chrono::steady_clock::time_point::max());
        co_await watch_ended_timer_.async_wait(no_throw);
    }
}

void http_session::report_disconnect() {
    std::function<void()> hook;
    {
        const std::lock_guard lock(hook_mutex_);
        disconnected_ = true;
        hook = std::exchange(hook_, {});
    }
    if (hook) {
        hook();
    }
}

void http_session::set_disconnect_hook(std::function<void()> hook) {
    {
        const std::lock_guard lock(hook_mutex_);
        if (!disconnected_) {
            hook_ = std::move(hook);
            return;
        }
    }
    if (hook) {
        hook();
    }
}

void http_session::close_now() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace dragonflystair::net
