#pragma once

#include "dragonflystair/net/exchange_client.h"

#include "answer_parser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace dragonflystair::net {

/// One connection of an exchange client. It always reads, so that the end of a kept connection is
/// noticed at once.
class exchange_connection : public std::enable_shared_from_this<exchange_connection> {
public:
    using tcp = boost::asio::ip::tcp;

    exchange_connection(const executor& context, std::string id_header, exchange_limits limits);

    /// Connects unless connected, and sends the request.
    void begin(const tcp::endpoint& address, std::string text, std::string id,
               const std::shared_ptr<exchange>& item);
    void close();

    [[nodiscard]] bool open() const { return socket_.is_open(); }
    /// Whether it carries the exchange.
    [[nodiscard]] bool carries(const exchange* item) const { return serving_ && item_ == item; }
    /// Whether the peer has probably not closed it for being idle.
    [[nodiscard]] bool usable(std::chrono::steady_clock::time_point now) const {
        return socket_.is_open() && !serving_ && now < idle_until_;
    }
    [[nodiscard]] std::chrono::steady_clock::time_point idle_until() const { return idle_until_; }

    /// Called when an exchange has ended and the connection can carry another.
    std::function<void()> on_idle;

private:
    void connect(const tcp::endpoint& address);
    void write();
    void read();
    void received(std::size_t bytes);
    void parse();
    void skip_answer();
    /// Whether the answer that is being read belongs to the request.
    [[nodiscard]] bool own_answer();
    [[nodiscard]] bool nameless_answer();
    void finish();
    void fail(exchange_end end, std::string fault);
    void notify(const std::shared_ptr<exchange>& held);
    void set_options();

    executor context_;
    std::string id_header_;
    exchange_limits limits_;
    tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<answer_parser> parser_;
    std::string text_;
    std::string id_;
    bool head_request_ = false;
    bool serving_ = false;
    bool written_ = false;
    bool used_before_ = false;      ///< It has carried an earlier request.
    std::size_t skipped_bytes_ = 0; ///< Before the head of the request's own answer.
    std::weak_ptr<exchange> held_;
    const exchange* item_ = nullptr; ///< Identity only; `held_` keeps access safe.
    std::chrono::steady_clock::time_point idle_until_;
};

} // namespace dragonflystair::net
