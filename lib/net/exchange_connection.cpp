#include "exchange_connection.h"

#include <boost/asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace dragonflystair::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t read_bytes = std::size_t{8} * 1024;

/// Bytes that the parser may leave for later: the head of a chunk with its extensions, or trailers.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

/// Keep-alive probes: a peer that does not answer two in a row, one second apart, is gone.
constexpr int probe_seconds = 1;
constexpr int probe_count = 2;

/// Part of the peer's idle timeout during which a connection is used again.
constexpr double safe_part = 0.7;

/// Idle timeout in a Keep-Alive header such as `timeout=5`; nothing if it names none.
std::optional<std::chrono::milliseconds> keep_alive_timeout(std::string_view value) {
    constexpr std::string_view key = "timeout=";
    const auto at = value.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + key.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1'000 * safe_part));
}

} // namespace

exchange_connection::exchange_connection(const executor& context, std::string id_header,
                                         exchange_limits limits)
    : context_(context), id_header_(std::move(id_header)), limits_(limits), socket_(context),
      connect_timer_(context) {}

void exchange_connection::begin(const tcp::endpoint& address, std::string text, std::string id,
                                const std::shared_ptr<exchange>& item) {
    serving_ = true;
    written_ = false;
    skipped_bytes_ = 0;
    used_before_ = socket_.is_open();
    text_ = std::move(text);
    id_ = std::move(id);
    held_ = item;
    item_ = item.get();
    head_request_ = text_.starts_with("HEAD ");
    parser_.emplace();
    parser_->skip(head_request_);
    item->reused_connection = socket_.is_open();
    if (socket_.is_open()) {
        write();
    } else {
        connect(address);
    }
}

void exchange_connection::connect(const tcp::endpoint& address) {
    boost::system::error_code code;
    socket_.open(address.protocol(), code);
    if (code) {
        fail(exchange_end::not_sent, "socket: " + code.message());
        return;
    }
    set_options();
    connect_timer_.expires_after(limits_.connect_timeout);
    // The timer may have expired when the connection is made and can then no longer be cancelled;
    // the request has been written by the time its handler runs.
    const auto connecting = std::make_shared<bool>(true);
    connect_timer_.async_wait(
        [weak = weak_from_this(), connecting](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (self && !error && *connecting) {
                self->fail(exchange_end::not_sent, "connect: timed out");
            }
        });
    socket_.async_connect(
        address, [self = shared_from_this(), connecting](const boost::system::error_code& error) {
            *connecting = false;
            self->connect_timer_.cancel();
            if (!self->socket_.is_open()) {
                return;
            }
            if (error) {
                self->fail(exchange_end::not_sent, "connect: " + error.message());
                return;
            }
            self->read();
            self->write();
        });
}

void exchange_connection::set_options() {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto set = [this](int name, int value) {
        ::setsockopt(socket_.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
    };
    set(TCP_KEEPIDLE, probe_seconds);
    set(TCP_KEEPINTVL, probe_seconds);
    set(TCP_KEEPCNT, probe_count);
    set(TCP_USER_TIMEOUT, static_cast<int>(limits_.acknowledge_timeout.count()));
}

void exchange_connection::write() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(text_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
            if (!self->serving_) {
                return;
            }
            // A peer may answer before it has read the whole request and then close; the answer is
            // still read.
            self->written_ = !error;
            if (error && bytes == 0) {
                self->fail(exchange_end::not_sent, "write: " + error.message());
            }
        });
}

void exchange_connection::read() {
    socket_.async_read_some(
        buffer_.prepare(read_bytes),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
            if (!self->socket_.is_open()) {
                return;
            }
            if (!error) {
                self->received(bytes);
                return;
            }
            if (error == boost::asio::error::eof && self->serving_ && self->parser_ &&
                self->parser_->is_header_done() && self->parser_->need_eof() &&
                self->own_answer() && !self->nameless_answer()) {
                boost::system::error_code code;
                self->parser_->put_eof(code);
                if (!code) {
                    self->finish();
                    return;
                }
            }
            self->fail(exchange_end::broken, "read: " + error.message());
        });
}

void exchange_connection::received(std::size_t bytes) {
    buffer_.commit(bytes);
    if (!serving_) {
        // Nobody asked for these bytes, so they belong to no request.
        close();
        return;
    }
    parse();
    if (socket_.is_open()) {
        read();
    }
}

void exchange_connection::parse() {
    const auto held = held_.lock();
    if (!held) {
        close();
        return;
    }
    while (serving_ && buffer_.size() > 0 && !parser_->is_done()) {
        boost::system::error_code code;
        const auto used = parser_->put(buffer_.data(), code);
        buffer_.consume(used);
        skipped_bytes_ += held->head ? 0 : used;
        if (code == http::error::need_more) {
            break;
        }
        if (code) {
            fail(exchange_end::broken, "answer: " + code.message());
            return;
        }
        if (parser_->is_header_done() && !parser_->is_done() && used == 0) {
            break;
        }
        if (parser_->is_done() && !own_answer()) {
            skip_answer();
        }
    }
    if (buffer_.size() > max_unparsed_bytes) {
        fail(exchange_end::broken, "answer: the head of a chunk or a trailer is over the limit");
        return;
    }
    if (!parser_->is_header_done() || !own_answer()) {
        parser_->body().clear();
        if (skipped_bytes_ > limits_.max_skipped_bytes) {
            fail(exchange_end::broken, "answer: too many bytes before it");
        }
        return;
    }
    if (nameless_answer()) {
        fail(exchange_end::broken, "answer: names no request on a connection used before");
        return;
    }
    const bool news = !held->head || !parser_->body().empty() || parser_->is_done();
    if (!held->head) {
        held->head = parser_->head();
    }
    held->body += parser_->body();
    parser_->body().clear();
    if (held->body.size() > limits_.max_unread_bytes) {
        fail(exchange_end::broken, "answer: more bytes than its reader takes");
        return;
    }
    if (parser_->is_done()) {
        finish();
    } else if (news) {
        notify(held);
    }
}

bool exchange_connection::own_answer() {
    const auto& head = parser_->head();
    const auto echoed = header(head.headers, id_header_);
    const bool interim = head.status / 100 == 1;
    return !interim && (echoed.empty() || echoed == id_);
}

/// Whether the answer names no request although an earlier one on the connection may have got it.
bool exchange_connection::nameless_answer() {
    return used_before_ && !id_.empty() && header(parser_->head().headers, id_header_).empty();
}

/// Makes ready for the next answer on the connection.
void exchange_connection::skip_answer() {
    parser_.emplace();
    parser_->skip(head_request_);
}

void exchange_connection::finish() {
    const auto held = held_.lock();
    serving_ = false;
    item_ = nullptr;
    const bool reusable = written_ && buffer_.size() == 0 && parser_->keep_alive();
    if (held) {
        held->head = held->head ? held->head : parser_->head();
        held->body += parser_->body();
        held->end = exchange_end::complete;
    }
    if (reusable) {
        const auto named = keep_alive_timeout(header(parser_->head().headers, "Keep-Alive"));
        idle_until_ = std::chrono::steady_clock::now() + named.value_or(limits_.idle_timeout);
        parser_.reset();
        if (on_idle) {
            on_idle();
        }
    } else {
        close();
    }
    if (held) {
        notify(held);
    }
}

void exchange_connection::fail(exchange_end end, std::string fault) {
    const auto held = held_.lock();
    const bool was_serving = std::exchange(serving_, false);
    item_ = nullptr;
    close();
    if (held && was_serving) {
        held->end = end;
        held->fault = std::move(fault);
        notify(held);
    }
}

void exchange_connection::notify(const std::shared_ptr<exchange>& held) {
    if (held->on_change) {
        held->on_change();
    }
}

void exchange_connection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    connect_timer_.cancel();
    serving_ = false;
    item_ = nullptr;
}

} // namespace dragonflystair::net
