#pragma once

#include "dragonflystair/net/awaitable.h"
#include "dragonflystair/net/http_message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// How an exchange ended.
enum class exchange_end {
    complete, ///< The whole response has arrived.
    not_sent, ///< No byte of the request left the process.
    broken,   ///< The connection closed before the whole response arrived, or it was invalid.
};

/// A request in flight and the part of its response that has arrived. Used on a single thread.
struct exchange {
    std::optional<http_response> head; ///< Without the body.
    std::string body;                  ///< Bytes received and not yet consumed by the reader.
    std::optional<exchange_end> end;
    std::string fault; ///< Why the exchange did not complete.
    bool reused_connection = false;
    std::size_t connection = 0;        ///< Number of the connection among those opened, from 1.
    std::size_t skipped_responses = 0; ///< To other requests, received before this one's.
    /// The connection was refused, or has ended although this side did not close it: before the
    /// response was complete, or as the end of a response without a length.
    bool connection_lost = false;
    /// Called after each change of the members above. It must not destroy the exchange.
    std::function<void()> on_change;
};

struct exchange_limits {
    /// Gives up on a host that does not respond at all. A round trip between regions takes 40 ms.
    std::chrono::milliseconds connect_timeout{500};
    /// Closes a connection whose peer does not acknowledge written bytes, as when a device on the
    /// path has dropped its state of the connection.
    std::chrono::milliseconds acknowledge_timeout{2'000};
    /// Closes idle connections, unless the peer's Keep-Alive header gives a timeout.
    std::chrono::milliseconds idle_timeout{4'000};
    std::size_t max_idle_connections = 64; ///< Per address.
    /// Requests that a connection carries; their ids are kept as 8 bytes each.
    std::size_t max_requests_per_connection = 512;
    /// Bytes before the head of the matching response: interim responses and late duplicates of
    /// earlier responses. The exchange fails if a peer sends more.
    std::size_t max_skipped_bytes = std::size_t{256} * 1024;
    /// Received bytes of a body that the reader has not consumed, as many as a request may have by
    /// default. The exchange fails above this limit: the reader is slower than the peer, or the
    /// response is endless.
    std::size_t max_unread_bytes = std::size_t{4} * 1024 * 1024;
    /// The same for all exchanges of a client together. Above this limit, an exchange fails when it
    /// holds more than `small_unread_bytes` and receives more. Several endless responses would
    /// otherwise exhaust the memory of a small VM.
    std::size_t max_total_unread_bytes = std::size_t{48} * 1024 * 1024;
    std::size_t small_unread_bytes = std::size_t{256} * 1024;
};

/// HTTP/1.1 client that delivers a response while it arrives and reuses connections. It never
/// repeats a request. A peer may send a duplicate response late: responses with another request id
/// are skipped, and one without an id closes a reused connection, since it may belong to an earlier
/// request. An id is sent only once on a connection: a duplicate of the response to the first send
/// would be taken for the response to the second. Requests without an id do not reuse a connection.
/// Everything runs on the single thread of the context.
class exchange_client {
public:
    /// `id_header` is the name of the header in which a peer echoes the request id.
    exchange_client(executor context, std::string id_header, exchange_limits limits = {});
    ~exchange_client();
    exchange_client(const exchange_client&) = delete;
    exchange_client& operator=(const exchange_client&) = delete;

    /// Sends `text`, a complete HTTP request. Destroying the exchange, or calling `cancel`, closes
    /// its connection unless the exchange has ended.
    std::shared_ptr<exchange> send(std::string_view address, std::string text, std::string id,
                                   std::function<void()> on_change);
    void cancel(const std::shared_ptr<exchange>& pending);

    /// Number of connections opened since construction.
    [[nodiscard]] std::size_t opened() const;

    /// Closes the idle connections to an address.
    void close_idle(std::string_view address);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
