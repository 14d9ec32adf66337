#pragma once

#include "dragonflystair/net/http_client.h"
#include "dragonflystair/stream/sse.h"
#include "dragonflystair/support/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::net {

/// Response to `GET /v1/state`.
struct engine_state {
    std::string start; ///< Changes with each start of the engine.
    std::string model;
    std::size_t slots = 0;
    std::size_t batch_limit = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::vector<std::string> resident;
    std::map<std::string, std::size_t> active;
};

/// A completion to send to an engine.
struct engine_call {
    std::string request_id;
    support::json body;            ///< OpenAI body; `model` is the adapter's full name.
    bool chat = false;             ///< `/v1/chat/completions` instead of `/v1/completions`.
    std::uint64_t resume_from = 0; ///< Position of the first event to send.
};

/// Event stream of a running completion.
class engine_stream {
public:
    explicit engine_stream(std::unique_ptr<http_body_stream> body) : body_(std::move(body)) {}
    /// Returns the next event, nullopt at the regular end of the stream, or an error.
    awaitable<async_result<std::optional<stream::sse_event>>>
    next(std::chrono::milliseconds timeout);
    void close() { body_->close(); }

private:
    std::unique_ptr<http_body_stream> body_;
    stream::sse_reader reader_;
};

/// Client of model engines. Errors of orders: `conflict` for a stale fencing number (409),
/// `refused` for a failed load or if no slot is free (503, 507), `unknown` if no response arrived.
class engine_client {
public:
    explicit engine_client(http_client& http) : http_(http) {}

    awaitable<async_result<engine_state>> state(std::string address,
                                                std::chrono::milliseconds timeout);
    awaitable<async_result<void>> load(std::string address, std::string adapter,
                                       std::uint64_t fence, std::chrono::milliseconds timeout);
    awaitable<async_result<void>> unload(std::string address, std::string adapter,
                                         std::uint64_t fence, std::chrono::milliseconds timeout);
    /// Starts a completion; always requests a stream. If the engine responds with an error, the
    /// result is `refused` with the engine's message.
    awaitable<async_result<std::unique_ptr<engine_stream>>>
    complete(std::string address, engine_call call, std::chrono::milliseconds timeout);
    awaitable<async_result<void>> cancel(std::string address, std::string request_id,
                                         std::chrono::milliseconds timeout);

private:
    http_client& http_;
};

} // namespace dragonflystair::net
