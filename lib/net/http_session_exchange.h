#pragma once

#include "http_session.h"

#include <functional>
#include <string_view>

namespace dragonflystair::net {

/// The exchange passed to a handler. It enforces the order in which a response is sent.
class http_session_exchange : public http_exchange {
public:
    http_session_exchange(http_session& session, http_request request);

    [[nodiscard]] const http_request& request() const override { return request_; }
    awaitable<void> respond(http_response response) override;
    awaitable<void> begin_stream(http_response head) override;
    awaitable<bool> write(std::string_view bytes) override;
    awaitable<void> end_stream() override;
    [[nodiscard]] bool disconnected() const override { return session_.disconnected(); }
    void on_disconnect(std::function<void()> hook) override;

    void set_failed() { failed_ = true; }
    [[nodiscard]] bool failed() const { return failed_; }

    /// Responds with 500 if the handler sent no response. Returns false if the connection cannot be
    /// reused.
    awaitable<bool> finish();

private:
    enum class phase { waiting, streaming, completed };

    awaitable<bool> respond_on_strand(http_response response);
    awaitable<bool> begin_on_strand(http_response head);
    awaitable<bool> write_on_strand(std::string_view bytes);
    awaitable<bool> end_on_strand();

    http_session& session_;
    http_request request_;
    phase phase_ = phase::waiting;
    bool chunked_ = true;
    bool failed_ = false;
    bool must_close_ = false;
};

} // namespace dragonflystair::net
