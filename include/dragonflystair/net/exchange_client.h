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
    complete, ///< The whole answer came.
    not_sent, ///< No byte of the request left the process.
    broken,   ///< The connection ended before the whole answer, or the answer was not valid.
};

/// One request on its way and the part of its answer that has come. Used on one thread.
struct exchange {
    std::optional<http_response> head; ///< Without a body.
    std::string body;                  ///< What came since it was last taken.
    std::optional<exchange_end> end;
    std::string fault; ///< Why it did not complete.
    bool reused_connection = false;
    /// Called after each change. It must not destroy the exchange.
    std::function<void()> on_change;
};

struct exchange_limits {
    /// A host that does not answer at all is given up; a round trip between regions is 40 ms.
    std::chrono::milliseconds connect_timeout{500};
    /// Written bytes that the peer does not acknowledge close the connection, as when something
    /// between the two ends has lost track of it.
    std::chrono::milliseconds acknowledge_timeout{2'000};
    /// Kept connections close after this, unless the peer names a time of its own.
    std::chrono::milliseconds idle_timeout{4'000};
    std::size_t idle_connections = 64; ///< Kept for one address.
    /// Bytes before the head of the request's own answer: interim answers and late copies of
    /// others. A peer that sends more sends no answer.
    std::size_t skipped_bytes = std::size_t{256} * 1024;
    /// Bytes of a body that were not taken yet, as large as a request may be by default. An answer
    /// that exceeds this is given up, since its reader is slower than its peer or it has no end.
    std::size_t unread_bytes = std::size_t{4} * 1024 * 1024;
};

/// HTTP/1.1 client that hands on an answer while it arrives and keeps connections for reuse. It
/// never repeats a request. A peer may send an extra answer late: answers to another request id are
/// skipped, and one that names no id ends a kept connection, since it may belong to an earlier
/// request. Everything runs on one thread, the context's.
class exchange_client {
public:
    /// `id_header` names the header by which a peer repeats the request's id.
    exchange_client(executor context, std::string id_header, exchange_limits limits = {});
    ~exchange_client();
    exchange_client(const exchange_client&) = delete;
    exchange_client& operator=(const exchange_client&) = delete;

    /// Sends `text`, a whole request. Destroying the exchange, or `cancel`, closes its connection
    /// unless it has ended.
    std::shared_ptr<exchange> send(std::string_view address, std::string text, std::string id,
                                   std::function<void()> on_change);
    void cancel(const std::shared_ptr<exchange>& item);

    /// Connections that were opened so far.
    [[nodiscard]] std::size_t opened() const;

    /// Closes kept connections to an address.
    void close_idle(std::string_view address);

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace dragonflystair::net
