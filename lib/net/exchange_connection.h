#pragma once

#include "dragonflystair/net/exchange_client.h"

#include "response_parser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::net {

/// A connection of an exchange client. A read is always pending, so that the closing of an idle
/// connection is detected immediately.
class exchange_connection : public std::enable_shared_from_this<exchange_connection> {
public:
    using tcp = boost::asio::ip::tcp;

    /// `number` identifies the connection among those of its client.
    exchange_connection(const executor& context, std::string id_header, exchange_limits limits,
                        std::size_t number);

    /// Connects if necessary, and sends the request.
    void begin(const tcp::endpoint& address, std::string text, std::string id,
               const std::shared_ptr<exchange>& pending);
    void close();

    [[nodiscard]] std::size_t number() const { return number_; }
    [[nodiscard]] bool open() const { return socket_.is_open(); }
    /// Returns whether the exchange is in flight on this connection.
    [[nodiscard]] bool carries(const exchange* pending) const {
        return in_flight_ && exchange_identity_ == pending;
    }
    /// Returns whether a request with this id was sent on the connection. An empty id identifies no
    /// response, so it counts as sent once the connection has carried any request.
    [[nodiscard]] bool has_carried(std::string_view id) const;
    /// Returns whether the connection is idle and the peer has probably not closed it.
    [[nodiscard]] bool usable(std::chrono::steady_clock::time_point now) const {
        return socket_.is_open() && !in_flight_ && now < idle_until_;
    }
    [[nodiscard]] std::chrono::steady_clock::time_point idle_until() const { return idle_until_; }

    /// Returns the number of body bytes that the reader of the exchange in flight has not consumed.
    [[nodiscard]] std::size_t unread_bytes() const;

    /// Returns the unread bytes of all connections of the client.
    std::function<std::size_t()> total_unread_bytes;

    /// Called when an exchange has completed and the connection can be reused.
    std::function<void()> on_idle;

private:
    void connect(const tcp::endpoint& address);
    void write();
    void read();
    void on_received(std::size_t bytes);
    void parse();
    void reset_parser();
    /// Returns whether the response being parsed is not interim and carries the id of the request
    /// in flight, or no id.
    [[nodiscard]] bool matches_request();
    [[nodiscard]] bool lacks_request_id();
    [[nodiscard]] bool exceeds_unread_limits(std::size_t unread) const;
    [[nodiscard]] bool peer_has_request();
    [[nodiscard]] bool ends_with_connection();
    [[nodiscard]] bool is_reusable();
    void finish();
    void mark_lost();
    void lose(exchange_end end, std::string fault);
    void fail(exchange_end end, std::string fault);
    void notify(const std::shared_ptr<exchange>& current);
    void set_options();

    executor context_;
    std::string id_header_;
    exchange_limits limits_;
    std::size_t number_;
    tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<response_parser> parser_;
    std::string text_;
    std::string request_id_;
    bool head_request_ = false;
    bool in_flight_ = false;
    bool written_ = false;
    bool reused_ = false;                ///< The connection has carried an earlier request.
    std::vector<std::uint64_t> carried_; ///< Fingerprints of the ids of all requests.
    std::size_t skipped_bytes_ = 0;      ///< Before the head of the matching response.
    std::weak_ptr<exchange> exchange_;
    const exchange* exchange_identity_ = nullptr; ///< For comparison only; never dereferenced.
    std::chrono::steady_clock::time_point idle_until_;
};

} // namespace dragonflystair::net
