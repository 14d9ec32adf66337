#include "tcp_relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <set>
#include <string_view>
#include <thread>
#include <utility>

namespace dragonflystair::scenarios {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

struct connection {
    connection(tcp::socket from, const asio::any_io_executor& executor)
        : near(std::move(from)), far(executor) {}
    tcp::socket near;
    tcp::socket far;
    bool silent = false;         ///< Discards data sent to the target.
    bool silent_answers = false; ///< Discards data sent by the target.
    // For `repeat_answers`; the callers send a request when the previous answer is complete.
    bool answering = true;   ///< The target has begun to answer the latest request.
    bool recording = false;  ///< Keeps the answer to the latest request.
    bool copy_first = false; ///< Sends the next copy before the target gets the request.
    std::string answer;      ///< To the latest request, as far as it has arrived.
    std::string copy;        ///< Of the previous answer, due before the next one.

    /// Prepares for data from the caller. Returns the copy that is due now, if any.
    std::string begin_request(bool repeats) {
        if (!std::exchange(answering, false)) {
            return {};
        }
        copy = std::exchange(answer, {});
        if (!repeats || copy.find("Request-Id: ") == std::string::npos) {
            copy.clear();
        }
        recording = repeats;
        copy_first = !copy_first;
        return copy_first ? std::exchange(copy, {}) : std::string();
    }

    /// Records data from the target. Returns the copy that is due before it, if any.
    std::string begin_answer(std::string_view data) {
        answering = true;
        if (recording) {
            answer += data;
        }
        return std::exchange(copy, {});
    }

    /// Closes both sockets with a TCP reset (linger time 0).
    void reset() {
        boost::system::error_code ignored;
        near.set_option(tcp::socket::linger(true, 0), ignored);
        far.set_option(tcp::socket::linger(true, 0), ignored);
        close();
    }

    void close() {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }
};
using connection_ptr = std::shared_ptr<connection>;

tcp::endpoint parse(const std::string& address) {
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// Well above the round-trip time between regions.
constexpr std::chrono::milliseconds late_by{150};

/// Forwards one direction. Data that arrives after the connection was silenced is discarded.
asio::awaitable<void> pump(connection_ptr link, tcp::socket& from, tcp::socket& to,
                           const bool& silent, const relay_mode& mode) {
    std::array<char, 16'384> buffer{};
    for (;;) {
        const auto [fault, size] = co_await from.async_read_some(asio::buffer(buffer), as_result);
        if (mode == relay_mode::delay) {
            asio::steady_timer timer(co_await asio::this_coro::executor, late_by);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (silent) {
            if (fault) {
                co_return;
            }
            continue;
        }
        if (fault) {
            break;
        }
        const bool answers = &from == &link->far;
        const auto copy = answers ? link->begin_answer({buffer.data(), size})
                                  : link->begin_request(mode == relay_mode::repeat_answers);
        if (!copy.empty()) {
            co_await asio::async_write(link->near, asio::buffer(copy), as_result);
        }
        const auto [unsent, written] =
            co_await asio::async_write(to, asio::buffer(buffer, size), as_result);
        if (unsent) {
            break;
        }
    }
    link->close();
}

} // namespace

struct tcp_relay::impl {
    explicit impl(const std::string& to)
        : target(parse(to)), acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}) {}

    asio::awaitable<void> accept() {
        for (;;) {
            auto [fault, socket] = co_await acceptor.async_accept(as_result);
            if (fault) {
                co_return;
            }
            if (mode == relay_mode::cut) {
                continue;
            }
            auto link = std::make_shared<connection>(std::move(socket), io.get_executor());
            links.insert(link);
            link->silent = mode == relay_mode::silence_all;
            link->silent_answers = link->silent;
            asio::co_spawn(
                io, [this, link] { return serve(link); }, asio::detached);
        }
    }

    asio::awaitable<void> serve(connection_ptr link) {
        const auto [fault] = co_await link->far.async_connect(target, as_result);
        if (fault) {
            link->close();
            co_return;
        }
        asio::co_spawn(
            io,
            [this, link] { return pump(link, link->far, link->near, link->silent_answers, mode); },
            asio::detached);
        co_await pump(link, link->near, link->far, link->silent, mode);
    }

    void apply(relay_mode next) {
        mode = next;
        if (next == relay_mode::pass || next == relay_mode::delay ||
            next == relay_mode::repeat_answers) {
            return;
        }
        for (const auto& link : std::exchange(links, {})) {
            if (next == relay_mode::cut) {
                link->close();
                continue;
            }
            if (next == relay_mode::reset_open) {
                link->reset();
                continue;
            }
            link->silent = next != relay_mode::silence_answers;
            link->silent_answers = true;
            silenced.insert(link);
        }
        if (next != relay_mode::cut && next != relay_mode::silence_all) {
            mode = relay_mode::pass;
        }
    }

    asio::io_context io{1};
    tcp::endpoint target;
    tcp::acceptor acceptor;
    relay_mode mode = relay_mode::pass;
    std::set<connection_ptr> links;
    std::set<connection_ptr> silenced;
    std::thread thread;
};

tcp_relay::tcp_relay(const std::string& target) : impl_(std::make_unique<impl>(target)) {
    asio::co_spawn(
        impl_->io, [this] { return impl_->accept(); }, asio::detached);
    impl_->thread = std::thread([this] { impl_->io.run(); });
}

tcp_relay::~tcp_relay() {
    impl_->io.stop();
    impl_->thread.join();
}

std::string tcp_relay::address() const {
    return "127.0.0.1:" + std::to_string(impl_->acceptor.local_endpoint().port());
}

void tcp_relay::set_mode(relay_mode mode) {
    asio::post(impl_->io, [this, mode] { impl_->apply(mode); });
}

} // namespace dragonflystair::scenarios
