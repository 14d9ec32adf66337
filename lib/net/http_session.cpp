#include "http_session.h"

#include "dragonflystair/net/spawn.h"

#include "http_session_exchange.h"
#include "http_session_limits.h"
#include "run_on.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace dragonflystair::net {

namespace {

/// Limit of pipelined input during a response; above it, the connection closes after the response.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

/// A larger input buffer is released after a request.
constexpr std::size_t max_retained_bytes = std::size_t{8} * 1024;

} // namespace

http_session::http_session(tcp::socket socket, std::shared_ptr<http_server_state> state)
    : strand_(socket.get_executor()), socket_(std::move(socket)), state_(std::move(state)),
      timer_(strand_), watch_ended_timer_(strand_) {}

http_session::~http_session() {
    state_->registry.remove(id_);
}

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

void http_session::evict() {
    boost::asio::dispatch(strand_, [self = shared_from_this()] {
        if (self->busy_ && !self->writing_) {
            return;
        }
        self->state_->limits_reached->note("closed_for_room");
        if (self->busy_) {
            self->close_now();
            return;
        }
        self->evicted_ = true;
        boost::system::error_code ignored;
        self->socket_.cancel(ignored);
    });
}

awaitable<void> http_session::run() {
    const auto self = shared_from_this();
    while (hold() && co_await wait_for_request()) {
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
    co_return !code && !evicted_;
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
        end_request();
        co_return std::exchange(answered_early_, false) && socket_.is_open();
    }
    timer_.disarm();
    busy_ = true;
    evicted_ = false;
    state_->registry.set_busy(id_, true);
    detect_closed_connection();
    watch_for_disconnect();
    co_await run_handler(std::move(*request));
    co_await stop_watching();
    end_request();
    co_return keep_alive_ && !disconnected_ && socket_.is_open();
}

/// Releases the memory of a request that has been answered.
void http_session::end_request() {
    request_bytes_ = 0;
    if (buffer_.capacity() > max_retained_bytes && buffer_.size() <= read_bytes) {
        buffer_.shrink_to_fit();
    }
    if (std::exchange(busy_, false)) {
        state_->registry.set_busy(id_, false);
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

awaitable<bool> http_session::write_response(http::response<http::string_body> message) {
    request_bytes_ += message.body().capacity();
    hold();
    begin_write();
    if (message.need_eof()) {
        keep_alive_ = false;
    }
    const auto [code, bytes] = co_await http::async_write(socket_, message, no_throw);
    end_write(code);
    co_return !code;
}

awaitable<bool> http_session::write_head(http::response<http::empty_body> message) {
    begin_write();
    http::response_serializer<http::empty_body> serializer(message);
    const auto [code, bytes] = co_await http::async_write_header(socket_, serializer, no_throw);
    end_write(code);
    co_return !code;
}

awaitable<bool> http_session::write_raw(std::string_view bytes, bool as_chunk) {
    if (bytes.empty()) {
        // An empty chunk would end the stream.
        co_return !disconnected_;
    }
    begin_write();
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
    end_write(code);
    co_return !code;
}

awaitable<bool> http_session::write_last_chunk() {
    begin_write();
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    const auto [code, bytes] =
        co_await boost::asio::async_write(socket_, boost::asio::buffer(last_chunk), no_throw);
    end_write(code);
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

void http_session::begin_write() {
    writing_ = true;
    state_->registry.set_writing(id_, true);
    timer_.arm(std::chrono::steady_clock::now() + state_->limits().write_timeout, weak_from_this(),
               [this] { close_now(); });
}

void http_session::end_write(const boost::system::error_code& code) {
    writing_ = false;
    state_->registry.set_writing(id_, false);
    timer_.disarm();
    if (code) {
        report_disconnect();
    }
}

/// Reads while a response is in progress: the end of input shows that the caller has disconnected.
/// Bytes that arrive belong to the next request.
void http_session::watch_for_disconnect() {
    const bool granted = hold() && hold_ahead();
    if (buffer_.size() > max_pipelined_bytes || !granted) {
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

/// Makes room for bytes of the next requests. Returns false if there is none.
bool http_session::hold_ahead() {
    if (buffer_.size() == 0 || buffer_.capacity() - buffer_.size() >= read_bytes) {
        return true;
    }
    // The buffer doubles its size.
    const auto grown = buffer_.size() + std::max(buffer_.size(), read_bytes);
    return state_->registry.hold_ahead(id_, connection_bytes + grown + request_bytes_);
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
