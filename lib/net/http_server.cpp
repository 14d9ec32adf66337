#include "dragonflystair/net/http_server.h"

#include "dragonflystair/net/spawn.h"

#include "http_session.h"
#include "run_on.h"
#include "socket_address.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace dragonflystair::net {

namespace {

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Pause of accepting while there are as many connections as allowed.
constexpr std::chrono::milliseconds room_check_interval{10};

/// Fewest connections of a server, also on a process with very few descriptors.
constexpr std::size_t min_connections = 16;

/// Returns half of the descriptors that the process may open; the others are for its own
/// connections.
std::size_t default_connections() {
    constexpr std::size_t most = 100'000;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur / 2 > most) {
        return most;
    }
    return std::max<std::size_t>(min_connections, limit.rlim_cur / 2);
}

byte_budget::limits budget_of(const http_server_capacity& capacity) {
    constexpr std::size_t reserved_share = 4;
    return {capacity.held_bytes, capacity.held_bytes / reserved_share,
            capacity.connections > 0 ? capacity.connections : default_connections(),
            capacity.connections_per_address};
}

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
    awaitable<void> wait_for_room();

    executor context;
    executor strand;
    tcp::acceptor acceptor;
    std::string bound_address;
    std::shared_ptr<http_server_state> state;
};

/// Waits until another connection may be accepted. Callers wait in the listen queue meanwhile.
awaitable<void> http_server::impl::wait_for_room() {
    boost::asio::steady_timer timer(strand);
    while (acceptor.is_open() && !state->registry.make_room()) {
        state->limits_reached->note("connections");
        timer.expires_after(room_check_interval);
        co_await timer.async_wait(no_throw);
    }
}

awaitable<void> http_server::impl::accept_loop() {
    const auto self = shared_from_this();
    boost::asio::steady_timer retry_timer(strand);
    while (acceptor.is_open()) {
        co_await wait_for_room();
        if (!acceptor.is_open()) {
            co_return;
        }
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
    // A caller that has reset its connection has no address any more.
    boost::system::error_code no_address;
    const auto remote = socket.remote_endpoint(no_address);
    const auto session = std::make_shared<http_session>(std::move(socket), state);
    if (!state->registry.add(session, no_address ? "" : remote.address().to_string())) {
        if (!state->registry.refusing()) {
            state->limits_reached->note("connections_per_address");
        }
        return;
    }
    session->start();
}

/// Accepts the connections that wait in the listen queue; closing the acceptor would reset them.
void http_server::impl::accept_pending() {
    boost::system::error_code code;
    acceptor.non_blocking(true, code);
    while (!code && state->registry.make_room()) {
        const executor session_strand = boost::asio::make_strand(context);
        tcp::socket socket(session_strand);
        acceptor.accept(socket, code);
        if (!code) {
            add(std::move(socket));
        }
    }
}

void http_server::impl::begin_shutdown() {
    if (acceptor.is_open()) {
        accept_pending();
    }
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto& session : state->registry.sessions()) {
        session->begin_shutdown();
    }
}

void http_server::impl::stop() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    for (const auto& session : state->registry.sessions()) {
        session->close();
    }
}

http_server::http_server(executor context, std::string_view address, http_server_limits limits,
                         http_handler handler, support::counters& counters,
                         http_server_options options)
    : impl_([&] {
          const auto budget = budget_of(options.capacity);
          auto state = std::make_shared<http_server_state>(limits, std::move(handler), counters,
                                                           budget, context, std::move(options));
          return std::make_shared<impl>(std::move(context), address, std::move(state));
      }()) {}

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
    return impl_->state->registry.sessions().size();
}

std::size_t http_server::held_bytes() const {
    return impl_->state->registry.held();
}

void http_server::stop() {
    impl_->state->registry.refuse_all();
    boost::asio::dispatch(impl_->strand, [self = impl_] { self->stop(); });
}

} // namespace dragonflystair::net
