#pragma once

#include "dragonflystair/net/http_server.h"

#include "model_request.h"

#include <string>

namespace dragonflystair::node {

/// Writes the answer to one caller: server-sent events as they arrive, or one JSON document at the
/// end if the caller did not request a stream.
class answer_writer {
public:
    answer_writer(net::http_exchange& exchange, const model_request& request);

    /// Writes or buffers one event of the engine. Returns false if the caller has disconnected.
    net::awaitable<bool> write(std::uint64_t position, const std::string& data);

    /// Completes the answer.
    net::awaitable<void> finish();

    /// Ends the answer with a refusal: as the response, or as an error event if the stream has
    /// started.
    net::awaitable<void> refuse(const problem& refusal);

    /// Returns true once the head of the event stream has been sent.
    [[nodiscard]] bool started() const { return started_; }

private:
    net::awaitable<void> begin();
    [[nodiscard]] net::http_response buffered_response() const;
    void buffer_event(const std::string& data);

    net::http_exchange& exchange_;
    const model_request& request_;
    bool started_ = false;
    std::string text_;
    std::string finish_reason_;
    support::json last_event_;
};

} // namespace dragonflystair::node
