#include "http_session.h"
#include "http_session_exchange.h"
#include "http_session_limits.h"
#include "run_on.h"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace dragonflystair::net {

namespace {

using boost::system::error_code;

problem problem_for(const error_code& code, bool timed_out) {
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

problem no_room() {
    return {503, "no_room", "the node holds too much for other callers", "not_run",
            room_retry_after};
}

} // namespace

/// Reads one request. Rejects it and returns nullopt if it exceeds a limit, is malformed or is
/// refused from its head.
awaitable<std::optional<http_request>> http_session::read_request() {
    const auto limits = state_->limits();
    fault_.reset();
    head_read_ = false;
    set_read_timeout(limits.request_timeout);
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    auto code = co_await read_head(parser);
    if (code) {
        co_await reject(code);
        co_return std::nullopt;
    }
    http_request request = take_head(parser);
    if (!body_has_arrived(parser)) {
        if (auto refusal = refusal_of_head(request, parser)) {
            co_await refuse_from_head(parser, std::move(request), std::move(*refusal));
            co_return std::nullopt;
        }
    }
    const bool sent = co_await send_continue(parser);
    if (!sent) {
        co_return std::nullopt;
    }
    code = co_await read_body(parser, request.body);
    if (code) {
        // The response waits for the caller, so the body is released first.
        std::string().swap(request.body);
        request_bytes_ = 0;
        hold();
        co_await reject(code);
        co_return std::nullopt;
    }
    co_return request;
}

awaitable<error_code> http_session::read_head(request_parser& parser) {
    error_code code = parse_head(parser);
    while (!code && !parser.is_header_done()) {
        code = co_await read_more();
        if (!code) {
            code = parse_head(parser);
        }
    }
    head_read_ = !code;
    co_return code;
}

/// Parses what has arrived. The parser keeps the fields, so their number is checked at once.
error_code http_session::parse_head(request_parser& parser) {
    error_code code;
    if (buffer_.size() > 0) {
        buffer_.consume(parser.put(buffer_.data(), code));
    }
    const auto& fields = parser.get();
    const auto count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    request_bytes_ = count * field_bytes;
    if (count > state_->limits().header_fields) {
        fault_ = problem{431, "too_many_fields", "the request has too many header fields"};
        return http::error::header_limit;
    }
    return code == http::error::need_more ? error_code{} : code;
}

http_request http_session::take_head(const request_parser& parser) {
    const auto& message = parser.get();
    keep_alive_ = message.keep_alive();
    version_1_0_ = message.version() < 11;
    head_request_ = message.method() == http::verb::head;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = headers_of(message);
    request_bytes_ = request.headers.size() * field_bytes;
    return request;
}

/// Reads the rest of the body. A caller that sends less than the minimum rate in one of the
/// intervals of the request timeout is timed out.
awaitable<error_code> http_session::read_body(request_parser& parser, std::string& body) {
    const auto limits = state_->limits();
    const auto bytes_per_interval =
        limits.min_body_rate * static_cast<std::size_t>(limits.request_timeout.count()) / 1'000;
    std::size_t interval_start = 0;
    parser.eager(true);
    if (!parser.is_done()) {
        set_read_timeout(limits.request_timeout);
    }
    error_code code = parse_body(parser, body);
    while (!code && !parser.is_done()) {
        code = co_await read_more();
        if (code) {
            break;
        }
        code = parse_body(parser, body);
        if (body.size() - interval_start >= std::max<std::size_t>(bytes_per_interval, 1)) {
            interval_start = body.size();
            set_read_timeout(limits.request_timeout);
        }
    }
    co_return code;
}

/// Moves the part of the body that has been received from the input buffer to `body`.
error_code http_session::parse_body(request_parser& parser, std::string& body) {
    std::array<char, read_bytes> piece{};
    while (buffer_.size() > 0 && !parser.is_done()) {
        auto& target = parser.get().body();
        target.data = piece.data();
        target.size = piece.size();
        target.more = true;
        error_code code;
        const auto consumed = parser.put(buffer_.data(), code);
        buffer_.consume(consumed);
        const auto filled = piece.size() - target.size;
        if (filled > 0) {
            if (!grow_body(parser, body, filled)) {
                return refuse_for_room();
            }
            body.append(piece.data(), filled);
        }
        if (code == http::error::need_more || (!code && consumed == 0)) {
            return {};
        }
        if (code && code != http::error::need_buffer) {
            return code;
        }
    }
    return {};
}

/// Makes room for `more` bytes of the body. Returns false if they are not granted.
bool http_session::grow_body(const request_parser& parser, std::string& body, std::size_t more) {
    constexpr std::size_t first_step = std::size_t{16} * 1024;
    const auto needed = body.size() + more;
    if (needed <= body.capacity()) {
        return true;
    }
    auto capacity = std::max(2 * body.capacity(), first_step);
    if (const auto total = parser.content_length()) {
        capacity = std::min(capacity, static_cast<std::size_t>(*total));
    }
    capacity = std::max(capacity, needed);
    const auto held = std::exchange(request_bytes_, request_bytes_ - body.capacity() + capacity);
    if (!hold()) {
        request_bytes_ = held;
        return false;
    }
    body.reserve(capacity);
    return true;
}

/// Reads what the socket has and counts it.
awaitable<error_code> http_session::read_more() {
    if (evicted_) {
        co_return refuse_for_room();
    }
    const auto space = std::min(read_bytes, buffer_.max_size() - buffer_.size());
    if (space == 0) {
        co_return http::error::buffer_overflow;
    }
    const auto [code, bytes] = co_await socket_.async_read_some(buffer_.prepare(space), no_throw);
    buffer_.commit(bytes);
    if (evicted_) {
        co_return refuse_for_room();
    }
    // The time limit may expire while the completion of a successful read is queued, and then the
    // read does not report an error.
    if (code || timer_.expired()) {
        co_return code ? code : boost::asio::error::timed_out;
    }
    state_->registry.receive(id_, bytes);
    if (!hold()) {
        co_return refuse_for_room();
    }
    co_return error_code{};
}

/// Reports what the connection holds. Returns false if it must release some of it.
bool http_session::hold() {
    return state_->registry.hold(id_, connection_bytes + buffer_.capacity() + request_bytes_);
}

error_code http_session::refuse_for_room() {
    fault_ = no_room();
    return boost::asio::error::no_buffer_space;
}

bool http_session::body_has_arrived(const request_parser& parser) const {
    const auto length = parser.content_length();
    return parser.is_done() || (length && *length <= buffer_.size());
}

std::optional<http_response> http_session::refusal_of_head(const http_request& head,
                                                           const request_parser& parser) {
    if (state_->check_head) {
        if (auto refusal = state_->check_head(head)) {
            return refusal;
        }
    }
    const auto length = parser.content_length().value_or(0);
    if (!state_->registry.has_room(length)) {
        state_->counters.increment("refusals_total", "no_room");
        state_->limits_reached->note("no_room");
        return render(no_room());
    }
    return std::nullopt;
}

/// Sends the refusal at once. The connection stays open if the body is short and follows.
awaitable<void> http_session::refuse_from_head(const request_parser& parser, http_request request,
                                               http_response refusal) {
    const auto length = parser.content_length();
    const bool waits = !header(request.headers, "Expect").empty();
    const bool reusable = keep_alive_ && !waits && length && *length <= max_discarded_bytes;
    keep_alive_ = reusable;
    http_session_exchange exchange(*this, std::move(request));
    co_await exchange.respond(std::move(refusal));
    if (!reusable || wants_close()) {
        co_await drain_input();
        co_return;
    }
    answered_early_ = co_await discard_body(*length);
}

awaitable<bool> http_session::discard_body(std::uint64_t left) {
    set_read_timeout(state_->limits().request_timeout);
    while (true) {
        const auto taken = std::min<std::uint64_t>(left, buffer_.size());
        buffer_.consume(static_cast<std::size_t>(taken));
        left -= taken;
        if (left == 0) {
            co_return true;
        }
        const auto code = co_await read_more();
        if (code) {
            co_return false;
        }
    }
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

awaitable<void> http_session::reject(error_code code) {
    const bool timed_out = timer_.expired() && !fault_;
    const bool caller_disconnected =
        code == http::error::end_of_stream || code == http::error::partial_message ||
        code.category() != make_error_code(http::error::end_of_stream).category();
    if (caller_disconnected && !timed_out && !fault_) {
        co_return;
    }
    if (evicted_ && !head_read_) {
        // Its descriptor is needed at once, and without a head there is no request to answer.
        co_return;
    }
    const auto rejection = fault_ ? *fault_ : problem_for(code, timed_out);
    state_->counters.increment("refusals_total", rejection.reason);
    if (!evicted_ && rejection.status != 400) {
        state_->limits_reached->note(rejection.reason);
    }
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

} // namespace dragonflystair::net
