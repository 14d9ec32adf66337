#include "http_session_exchange.h"

#include "dragonflystair/net/problem.h"

#include "run_on.h"

#include <utility>

namespace dragonflystair::net {

namespace {

template <class Body>
http::response<Body> make_head(const http_response& response, bool close, bool version_1_0) {
    http::response<Body> message;
    message.version(version_1_0 ? 10 : 11);
    message.result(static_cast<unsigned>(response.status));
    copy_headers(response.headers, message);
    message.keep_alive(!close);
    return message;
}

/// Returns whether the handler's response can be sent.
bool is_valid(const http_response& response) {
    return response.status >= 200 && response.status <= 999 && valid_headers(response.headers);
}

bool has_no_content(int status) {
    return status == 204 || status == 304;
}

} // namespace

http_session_exchange::http_session_exchange(http_session& session, http_request request)
    : session_(session), request_(std::move(request)) {}

awaitable<void> http_session_exchange::respond(http_response response) {
    auto work = respond_on_strand(std::move(response));
    co_await run_on(session_.strand(), std::move(work));
}

awaitable<void> http_session_exchange::begin_stream(http_response head) {
    auto work = begin_on_strand(std::move(head));
    co_await run_on(session_.strand(), std::move(work));
}

awaitable<bool> http_session_exchange::write(std::string_view bytes) {
    auto work = write_on_strand(bytes);
    if (session_.on_strand()) {
        co_return co_await std::move(work);
    }
    co_return co_await run_on(session_.strand(), std::move(work));
}

awaitable<void> http_session_exchange::end_stream() {
    auto work = end_on_strand();
    co_await run_on(session_.strand(), std::move(work));
}

void http_session_exchange::on_disconnect(std::function<void()> hook) {
    session_.set_disconnect_hook(std::move(hook));
}

awaitable<bool> http_session_exchange::finish() {
    if (phase_ == phase::waiting) {
        failed_ = true;
        auto response =
            render(problem{500, "internal_error", "the request could not be handled", "unknown"});
        co_await respond_on_strand(std::move(response));
    }
    if (phase_ == phase::streaming && !chunked_) {
        // Without chunks, an orderly close would be the regular end of the response.
        session_.reset_on_close();
    }
    co_return phase_ == phase::completed && !must_close_;
}

awaitable<bool> http_session_exchange::respond_on_strand(http_response response) {
    if (phase_ != phase::waiting) {
        failed_ = true;
        co_return false;
    }
    phase_ = phase::completed;
    must_close_ = true; // Until the response has been written.
    if (!is_valid(response)) {
        failed_ = true;
        response = render(problem{500, "internal_error", "the response was not valid", "unknown"});
    }
    if (has_no_content(response.status)) {
        response.body.clear();
    }
    const bool close = session_.wants_close();
    auto message = make_head<http::string_body>(response, close, session_.is_version_1_0());
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (session_.is_head_request()) {
        message.body().clear();
    }
    const bool written = co_await session_.write_response(std::move(message));
    must_close_ = !written || close;
    co_return written;
}

awaitable<bool> http_session_exchange::begin_on_strand(http_response head) {
    if (phase_ != phase::waiting || !is_valid(head)) {
        failed_ = true;
        co_return false;
    }
    phase_ = phase::streaming;
    must_close_ = true; // Until the head has been written.
    // HTTP/1.0 has no chunks, so the end of the connection ends the stream.
    chunked_ = !session_.is_version_1_0();
    const bool close = session_.wants_close() || !chunked_;
    auto message = make_head<http::empty_body>(head, close, !chunked_);
    if (chunked_) {
        message.chunked(true);
    }
    const bool written = co_await session_.write_head(std::move(message));
    must_close_ = !written || close;
    co_return written;
}

awaitable<bool> http_session_exchange::write_on_strand(std::string_view bytes) {
    if (phase_ != phase::streaming) {
        failed_ = true;
        co_return false;
    }
    if (session_.disconnected() || session_.is_head_request()) {
        co_return !session_.disconnected();
    }
    co_return co_await session_.write_raw(bytes, chunked_);
}

awaitable<bool> http_session_exchange::end_on_strand() {
    if (phase_ != phase::streaming) {
        failed_ = true;
        co_return false;
    }
    phase_ = phase::completed;
    if (!chunked_ || session_.is_head_request()) {
        co_return true;
    }
    const bool written = co_await session_.write_last_chunk();
    must_close_ = must_close_ || !written;
    co_return written;
}

} // namespace dragonflystair::net
