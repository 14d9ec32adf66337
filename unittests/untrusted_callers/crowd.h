#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace dragonflystair::untrusted {

/// What each connection of a crowd sends. Nothing is read.
struct crowd_plan {
    std::string address;
    std::size_t connections = 0;
    std::string text;            ///< Sent once, then the connection stays open.
    std::size_t repetitions = 1; ///< Number of times that `text` is sent.
    std::size_t piece_bytes = 0; ///< Bytes per write; 0 for as many as the socket takes.
};

/// Connections of callers that are not under our control. They stay open until destruction.
class crowd {
public:
    /// Opens the connections of a plan; those that the server does not accept wait in its queue.
    void join(const crowd_plan& plan) {
        const auto shared = std::make_shared<const crowd_plan>(plan);
        const auto colon = plan.address.rfind(':');
        const tcp::endpoint target(
            boost::asio::ip::make_address(plan.address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(plan.address.substr(colon + 1))));
        for (std::size_t i = 0; i < plan.connections; ++i) {
            tcp::socket socket(context_, target.protocol());
            socket.non_blocking(true);
            boost::system::error_code in_progress;
            socket.connect(target, in_progress);
            senders_.emplace_back(std::move(socket), shared);
        }
    }

    /// Sends until every connection has sent its text or is closed, or for `longest`. Calls
    /// `observe` regularly and at the end.
    void send(std::chrono::milliseconds longest, const std::function<void()>& observe) {
        const auto end = std::chrono::steady_clock::now() + longest;
        bool sending = true;
        while (sending && std::chrono::steady_clock::now() < end) {
            sending = false;
            for (auto& item : senders_) {
                sending = item.send_some() || sending;
            }
            observe();
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        observe();
    }

private:
    using tcp = boost::asio::ip::tcp;

    struct sender {
        sender(tcp::socket opened, std::shared_ptr<const crowd_plan> chosen)
            : socket(std::move(opened)), plan(std::move(chosen)) {}

        /// Sends what the socket takes, at most one piece. Returns false if nothing is left to
        /// send.
        bool send_some() {
            const auto total = plan->text.size() * plan->repetitions;
            if (closed || sent >= total) {
                return false;
            }
            const auto offset = sent % plan->text.size();
            auto length = plan->text.size() - offset;
            if (plan->piece_bytes > 0) {
                length = std::min(length, plan->piece_bytes);
            }
            boost::system::error_code code;
            sent +=
                socket.write_some(boost::asio::buffer(plan->text.data() + offset, length), code);
            // The connection may still be in progress while the server's queue is full.
            closed = code && code != boost::asio::error::would_block &&
                     code != boost::asio::error::not_connected;
            return !closed;
        }

        tcp::socket socket;
        std::shared_ptr<const crowd_plan> plan;
        std::size_t sent = 0;
        bool closed = false;
    };

    boost::asio::io_context context_;
    std::vector<sender> senders_;
};

} // namespace dragonflystair::untrusted
