#pragma once

#include "dragonflystair/net/http_server.h"

#include "model_request.h"

#include <string>

namespace dragonflystair::node {

/// Writes the answer to one caller: server-sent events as they come, or one JSON document at the
/// end.
class answer_writer {
public:
    answer_writer(net::http_exchange& exchange, const model_request& request);

    /// One event of the engine; false once the caller has gone.
    net::awaitable<bool> write(std::uint64_t position, const std::string& data);

    /// The answer is complete.
    net::awaitable<void> finish();

    /// Final refusal: a response of its own, or an error event if events were sent already.
    net::awaitable<void> refuse(const problem& item);

    [[nodiscard]] bool started() const { return started_; }

private:
    net::awaitable<void> begin();
    [[nodiscard]] net::http_response whole_answer() const;
    void collect(const std::string& data);

    net::http_exchange& exchange_;
    const model_request& request_;
    bool started_ = false;
    std::string text_;
    std::string finish_reason_;
    support::json last_;
};

} // namespace dragonflystair::node
