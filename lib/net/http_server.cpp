#include "dragonflystair/net/http_server.h"

#include "dragonflystair/net/spawn.h"

#include "http_session.h"
#include "run_on.h"
#include "socket_address.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflystair::net {

namespace {

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

struct http_server::impl : std::enable_shared_from_this<impl> {
    impl(executor used, std::string_view address, std::shared_ptr<http_server_state> shared)
        : context(std::move(used)), strand(boost::asio::make_strand(context)),
          acceptor(strand, require_address(address)),
          bound_address(to_string(acceptor.local_endpoint())), state(std::move(shared)) {}

    awaitable<void> accept_loop();
    void add(tcp::socket socket);
    void accept_pending();
    void begin_shutdown();
    void stop();
    std::vector<std::shared_ptr<http_session>> open_sessions();

    executor context;
    executor strand;
    tcp::acceptor acceptor;
    std::string bound_address;
    std::shared_ptr<http_server_state> state;
    std::mutex mutex;
    bool stopped = false;
    std::vector<std::weak_ptr<http_session>> sessions;
    std::size_t prune_threshold = 64; ///< Size of `sessions` at which expired ones are removed.
};

awaitable<void> http_server::impl::accept_loop() {
    const auto self = shared_from_this();
    boost::asio::steady_timer retry_timer(strand);
    while (acceptor.is_open()) {
        const executor session_strand = boost::asio::make_strand(context);
        auto [code, socket] = co_await acceptor.async_accept(session_strand, no_throw);
        if (!code) {
            add(std::move(socket));
            continue;
        }
        if (!acceptor.is_open()) {
            co_return;
        }
        state->counters.increment("accept_errors_total");
        retry_timer.expires_after(accept_retry_delay);
        co_await retry_timer.async_wait(no_throw);
    }
}

void http_server::impl::add(tcp::socket socket) {
    const auto session = std::make_shared<http_session>(std::move(socket), state);
    {
        const std::lock_guard lock(mutex);
        if (stopped) {
            return;
        }
        if (sessions.size() >= prune_threshold) {
            std::erase_if(sessions, [](const auto& item) { return item.expired(); });
            prune_threshold = std::max<std::size_t>(64, 2 * sessions.size());
        }
        sessions.push_back(session);
    }
    session->start();
}

/// Accepts the connections that wait in the listen queue; closing the acceptor would reset them.
void http_server::impl::accept_pending() {
    boost::system::error_code code;
    acceptor.non_blocking(true, code);
    while (!code) {
        const executor session_strand = boost::asio::make_strand(context);
        tcp::socket socket(session_strand);
        acceptor.accept(socket, code);
        if (!code) {
            add(std::move(socket));
        }
    }
}

std::vector<std::shared_ptr<http_session>> http_server::impl::open_sessions() {
    const std::lock_guard lock(mutex);
    std::vector<std::shared_ptr<http_session>> open;
    for (const auto& item : sessions) {
        if (auto session = item.lock()) {
            open.push_back(std::move(session));
        }
    }
    return open;
}

void http_server::impl::begin_shutdown() {
    if (acceptor.is_open()) {
        accept_pending();
    }
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto& session : open_sessions()) {
        session->begin_shutdown();
    }
}

void http_server::impl::stop() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto& session : open_sessions()) {
        session->close();
    }
}

http_server::http_server(executor context, std::string_view address, http_server_limits limits,
                         http_handler handler, support::counters& counters,
                         http_server_options /*options*/)
    : impl_(std::make_shared<impl>(
          std::move(context), address,
          std::make_shared<http_server_state>(limits, std::move(handler), counters))) {}

http_server::~http_server() {
    stop();
}

std::string http_server::address() const {
    return impl_->bound_address;
}

void http_server::start() {
    spawn(impl_->strand, "accept_callers", [self = impl_] { return self->accept_loop(); });
}

void http_server::set_limits(const http_server_limits& limits) {
    impl_->state->current_limits.store(std::make_shared<const http_server_limits>(limits));
}

void http_server::announce_shutdown() {
    impl_->state->shutting_down = true;
}

void http_server::begin_shutdown() {
    impl_->state->shutting_down = true;
    boost::asio::dispatch(impl_->strand, [self = impl_] { self->begin_shutdown(); });
}

std::size_t http_server::open_exchanges() const {
    return impl_->state->open_exchanges;
}

std::size_t http_server::open_connections() const {
    return impl_->open_sessions().size();
}

std::size_t http_server::held_bytes() const {
    return 0;
}

void http_server::stop() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopped = true;
    }
    boost::asio::dispatch(impl_->strand, [self = impl_] { self->stop(); });
}

} // namespace dragonflystair::net
