#include "exchange_connection.h"

#include "dragonflystair/support/hash.h"

#include "send_queue.h"

#include <boost/asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace dragonflystair::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{8} * 1024;

/// Limit of received bytes that the parser has not consumed: the head of a chunk with its
/// extensions, or trailers.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

/// TCP keep-alive: a peer that does not acknowledge two consecutive probes, one second apart, is
/// unreachable.
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probes = 2;

/// Fraction of the peer's idle timeout during which a connection is reused; later, the peer may be
/// closing it.
constexpr double reusable_fraction = 0.7;

/// Returns the time for which a connection may be reused according to a Keep-Alive header such as
/// `timeout=5`, or nullopt if the header gives no timeout.
std::optional<std::chrono::milliseconds> keep_alive_reuse_time(std::string_view value) {
    constexpr std::string_view key = "timeout=";
    const auto at = value.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + key.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(seconds * 1'000 * reusable_fraction));
}

} // namespace

exchange_connection::exchange_connection(const executor& context, std::string id_header,
                                         exchange_limits limits, std::size_t number)
    : context_(context), id_header_(std::move(id_header)), limits_(limits), number_(number),
      socket_(context), connect_timer_(context) {}

void exchange_connection::begin(const tcp::endpoint& address, std::string text, std::string id,
                                const std::shared_ptr<exchange>& pending) {
    in_flight_ = true;
    written_ = false;
    skipped_bytes_ = 0;
    reused_ = socket_.is_open();
    text_ = std::move(text);
    request_id_ = std::move(id);
    carried_.push_back(support::fingerprint(request_id_));
    exchange_ = pending;
    exchange_identity_ = pending.get();
    head_request_ = text_.starts_with("HEAD ");
    parser_.emplace();
    parser_->skip(head_request_);
    pending->reused_connection = socket_.is_open();
    if (socket_.is_open()) {
        write();
    } else {
        connect(address);
    }
}

bool exchange_connection::has_carried(std::string_view id) const {
    if (id.empty()) {
        return !carried_.empty();
    }
    return std::ranges::find(carried_, support::fingerprint(id)) != carried_.end();
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
    // The timer may expire as the connection is established and can then no longer be cancelled.
    // The request has been written by the time its handler runs, so the handler must not fail the
    // exchange as not sent.
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
            if (error == boost::asio::error::connection_refused) {
                self->lose(exchange_end::not_sent, "connect: " + error.message());
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
    set(TCP_KEEPIDLE, keep_alive_interval_seconds);
    set(TCP_KEEPINTVL, keep_alive_interval_seconds);
    set(TCP_KEEPCNT, keep_alive_probes);
    set(TCP_USER_TIMEOUT, static_cast<int>(limits_.acknowledge_timeout.count()));
}

void exchange_connection::write() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(text_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
            if (!self->in_flight_) {
                return;
            }
            // A peer may respond before it has read the whole request, and then close. The response
            // is still read.
            self->written_ = !error;
            if (error && bytes == 0) {
                self->fail(exchange_end::not_sent, "write: " + error.message());
            }
        });
}

void exchange_connection::read() {
    socket_.async_read_some(
        buffer_.prepare(read_buffer_bytes),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
            if (!self->socket_.is_open()) {
                return;
            }
            if (!error) {
                self->on_received(bytes);
                return;
            }
            if (error == boost::asio::error::eof && self->ends_with_connection()) {
                if (!self->peer_has_request()) {
                    self->lose(exchange_end::broken,
                               "response without a length ended before the request was sent");
                    return;
                }
                boost::system::error_code code;
                self->parser_->put_eof(code);
                if (!code) {
                    self->mark_lost();
                    self->finish();
                    return;
                }
            }
            self->lose(exchange_end::broken, "read: " + error.message());
        });
}

void exchange_connection::on_received(std::size_t bytes) {
    buffer_.commit(bytes);
    if (!in_flight_) {
        // No request is in flight that these bytes could belong to.
        close();
        return;
    }
    parse();
    if (socket_.is_open()) {
        read();
    }
}

void exchange_connection::parse() {
    const auto current = exchange_.lock();
    if (!current) {
        close();
        return;
    }
    while (in_flight_ && buffer_.size() > 0 && !parser_->is_done()) {
        boost::system::error_code code;
        const auto consumed = parser_->put(buffer_.data(), code);
        buffer_.consume(consumed);
        skipped_bytes_ += current->head ? 0 : consumed;
        if (code == http::error::need_more) {
            break;
        }
        if (code) {
            fail(exchange_end::broken, "response: " + code.message());
            return;
        }
        if (parser_->is_header_done() && !parser_->is_done() && consumed == 0) {
            break;
        }
        if (parser_->is_done() && !matches_request()) {
            current->skipped_responses += parser_->head().status / 100 == 1 ? 0 : 1;
            reset_parser();
        }
    }
    if (buffer_.size() > max_unparsed_bytes) {
        fail(exchange_end::broken, "response: chunk head or trailer exceeds the size limit");
        return;
    }
    if (!parser_->is_header_done() || !matches_request()) {
        parser_->body().clear();
        if (skipped_bytes_ > limits_.max_skipped_bytes) {
            fail(exchange_end::broken, "response: too many bytes before the matching response");
        }
        return;
    }
    if (lacks_request_id()) {
        fail(exchange_end::broken, "response: no request id on a reused connection");
        return;
    }
    const bool changed = !current->head || !parser_->body().empty() || parser_->is_done();
    if (!current->head) {
        current->head = parser_->head();
    }
    current->body += parser_->body();
    parser_->body().clear();
    if (exceeds_unread_limits(current->body.size())) {
        fail(exchange_end::broken, "response: unread body exceeds the size limit");
        return;
    }
    if (parser_->is_done()) {
        finish();
    } else if (changed) {
        notify(current);
    }
}

bool exchange_connection::matches_request() {
    const auto& head = parser_->head();
    const auto echoed = header(head.headers, id_header_);
    const bool interim = head.status / 100 == 1;
    return !interim && (echoed.empty() || echoed == request_id_);
}

/// Returns whether the peer has received the whole request, as far as TCP tells.
bool exchange_connection::peer_has_request() {
    return written_ && is_send_queue_empty(socket_.native_handle());
}

/// Returns whether the response being parsed belongs to the request in flight and is delimited only
/// by the end of the connection.
bool exchange_connection::ends_with_connection() {
    return in_flight_ && parser_ && parser_->is_header_done() && parser_->need_eof() &&
           matches_request() && !lacks_request_id();
}

/// Returns whether the connection can carry another request after the response that is complete.
bool exchange_connection::is_reusable() {
    const auto& head = parser_->head();
    const auto length = header(head.headers, "Content-Length");
    // The peer may send a body with a status that has none, later than the head.
    const bool body_may_follow =
        (head.status == 204 || head.status == 304) &&
        ((!length.empty() && length != "0") || head.headers.contains("Transfer-Encoding"));
    return peer_has_request() && !head_request_ && !body_may_follow && buffer_.size() == 0 &&
           parser_->keep_alive() && carried_.size() < limits_.max_requests_per_connection;
}

/// Returns whether the response has no request id although it may belong to an earlier request on
/// the connection.
bool exchange_connection::lacks_request_id() {
    return reused_ && !request_id_.empty() && header(parser_->head().headers, id_header_).empty();
}

std::size_t exchange_connection::unread_bytes() const {
    const auto current = exchange_.lock();
    return current ? current->body.size() : 0;
}

bool exchange_connection::exceeds_unread_limits(std::size_t unread) const {
    if (unread <= limits_.small_unread_bytes) {
        return false;
    }
    return unread > limits_.max_unread_bytes ||
           (total_unread_bytes && total_unread_bytes() > limits_.max_total_unread_bytes);
}

/// Prepares for parsing the next response on the connection.
void exchange_connection::reset_parser() {
    parser_.emplace();
    parser_->skip(head_request_);
}

void exchange_connection::finish() {
    const auto current = exchange_.lock();
    in_flight_ = false;
    exchange_identity_ = nullptr;
    const bool reusable = is_reusable();
    if (current) {
        current->head = current->head ? current->head : parser_->head();
        current->body += parser_->body();
        current->end = exchange_end::complete;
    }
    if (reusable) {
        const auto peer_timeout =
            keep_alive_reuse_time(header(parser_->head().headers, "Keep-Alive"));
        idle_until_ =
            std::chrono::steady_clock::now() + peer_timeout.value_or(limits_.idle_timeout);
        parser_.reset();
        if (on_idle) {
            on_idle();
        }
    } else {
        close();
    }
    if (current) {
        notify(current);
    }
}

void exchange_connection::mark_lost() {
    if (const auto current = exchange_.lock(); current && in_flight_) {
        current->connection_lost = true;
    }
}

/// Fails the exchange because its connection was refused or has ended.
void exchange_connection::lose(exchange_end end, std::string fault) {
    mark_lost();
    fail(end, std::move(fault));
}

void exchange_connection::fail(exchange_end end, std::string fault) {
    const auto current = exchange_.lock();
    const bool was_in_flight = std::exchange(in_flight_, false);
    exchange_identity_ = nullptr;
    close();
    if (current && was_in_flight) {
        current->end = end;
        current->fault = std::move(fault);
        notify(current);
    }
}

void exchange_connection::notify(const std::shared_ptr<exchange>& current) {
    if (current->on_change) {
        current->on_change();
    }
}

void exchange_connection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    connect_timer_.cancel();
    in_flight_ = false;
    exchange_identity_ = nullptr;
}

} // namespace dragonflystair::net
