#include "part.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <charconv>
#include <stdexcept>

namespace dragonflystair::stand_ins {

asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    const auto colon = std::min(address.rfind(':'), address.size());
    const auto digits = address.substr(std::min(colon + 1, address.size()));
    std::uint16_t port = 0;
    const auto [stop, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (fault != std::errc{} || stop != digits.data() + digits.size()) {
        throw std::runtime_error(fmt::format("'{}' is not of the form IP:PORT", address));
    }
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

part::part(asio::any_io_executor context, section& settings)
    : context_(std::move(context)), name_(settings.name()),
      acceptor_(context_, endpoint_of(settings.text("address", "127.0.0.1:0"))) {}

std::string part::address() const {
    const auto bound = acceptor_.local_endpoint();
    return fmt::format("{}:{}", bound.address().to_string(), bound.port());
}

void part::start() {
    asio::co_spawn(
        context_, [self = shared_from_this()] { return self->accept(); }, asio::detached);
}

void part::on_control(std::string key, std::function<void(const json&)> change) {
    changes_[std::move(key)] = std::move(change);
}

std::set<exchange*> part::other_connections() const {
    auto others = connections_;
    others.erase(controlling_);
    return others;
}

awaitable<void> part::sleep(std::chrono::nanoseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(returned);
}

awaitable<void> part::accept() {
    for (;;) {
        auto [fault, socket] = co_await acceptor_.async_accept(returned);
        if (fault) {
            // Running out of descriptors fails every accept until a connection closes.
            co_await sleep(std::chrono::milliseconds{10});
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true));
        auto session = [self = shared_from_this(), taken = std::move(socket)]() mutable {
            return self->serve(std::move(taken));
        };
        asio::co_spawn(context_, std::move(session), asio::detached);
    }
}

awaitable<void> part::serve(asio::ip::tcp::socket socket) {
    exchange call(std::move(socket));
    connections_.insert(&call);
    const auto leave = [this](exchange* gone) { connections_.erase(gone); };
    const std::unique_ptr<exchange, decltype(leave)> registered(&call, leave);
    while (co_await call.read()) {
        co_await answer(call);
        if (!call.keep_alive()) {
            co_return;
        }
    }
}

awaitable<void> part::answer(exchange& call) {
    std::string fault;
    try {
        if (call.is(http::verb::post, "/control")) {
            co_await control(call);
            co_return;
        }
        co_await handle(call);
    } catch (const std::exception& error) {
        fault = error.what();
    }
    if (!fault.empty()) {
        co_await call.refuse(http::status::bad_request, fault);
    }
}

awaitable<void> part::control(exchange& call) {
    const auto body = call.body();
    for (const auto& [key, value] : body.items()) {
        if (!changes_.contains(key)) {
            throw std::runtime_error(fmt::format("{} has no control '{}'", name_, key));
        }
    }
    controlling_ = &call;
    for (const auto& [key, value] : body.items()) {
        changes_.at(key)(value);
    }
    controlling_ = nullptr;
    co_await call.respond(http::status::ok, report());
}

} // namespace dragonflystair::stand_ins
