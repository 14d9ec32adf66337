#include "part.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace dragonflystair::stand_ins {

asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    const auto digits = address.substr(address.find(':') + 1);
    std::uint16_t port = 0;
    const auto [stop, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits == address || fault != std::errc{} || stop != digits.data() + digits.size()) {
        throw std::runtime_error(fmt::format("'{}' is not of the form IP:PORT", address));
    }
    return {asio::ip::make_address(address.substr(0, address.find(':'))), port};
}

part::part(asio::any_io_executor context, section& settings)
    : context_(std::move(context)), name_(settings.name()),
      data_centre_(settings.text("data_centre", "")), service_(settings.text("service", "")),
      acceptor_(context_, endpoint_of(settings.text("address", "127.0.0.1:0"))) {}

std::string part::address() const {
    const auto bound = acceptor_.local_endpoint();
    return fmt::format("{}:{}", bound.address().to_string(), bound.port());
}

json part::vm_list_entry() const {
    return {{"id", name_},
            {"address", address()},
            {"data_centre", data_centre_},
            {"service", service_},
            {"state", "live"}};
}

void part::start() {
    asio::co_spawn(
        context_, [self = shared_from_this()] { return self->accept(); }, asio::detached);
}

void part::on_control(std::string key, std::function<void(const json&)> change) {
    changes_[std::move(key)] = std::move(change);
}

void part::refuse(http::status status, const std::string& reason) {
    count("refused: " + reason);
    throw refusal(status, reason);
}

std::set<exchange*> part::other_connections() const {
    auto others = connections_;
    others.erase(controlling_);
    return others;
}

awaitable<void> part::sleep(std::chrono::milliseconds time, double factor) const {
    asio::steady_timer timer(context_, scaled(time, factor));
    co_await timer.async_wait(returned);
}

awaitable<void> part::accept() {
    for (;;) {
        auto [fault, socket] = co_await acceptor_.async_accept(returned);
        if (fault) {
            // Without free file descriptors every accept fails until a connection closes.
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
    const auto unregister = [this](exchange* done) { connections_.erase(done); };
    const std::unique_ptr<exchange, decltype(unregister)> registered(&call, unregister);
    while (co_await call.read()) {
        co_await answer(call);
        if (!call.keep_alive()) {
            co_return;
        }
    }
}

awaitable<void> part::answer(exchange& call) {
    auto status = http::status::ok;
    json body;
    try {
        if (call.is(http::verb::post, "/control")) {
            body = control(call);
        } else {
            body = co_await handle(call);
        }
    } catch (const refusal& refused) {
        status = refused.status;
        body["error"] = refused.what();
    } catch (const std::exception& error) {
        status = http::status::bad_request;
        body["error"] = error.what();
    }
    controlling_ = nullptr;
    if (status == http::status::too_many_requests || status == http::status::service_unavailable) {
        call.add_header("Retry-After", "1");
    }
    if (!body.is_null()) {
        co_await call.respond(status, std::move(body));
    }
}

json part::control(exchange& call) {
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
    return report();
}

} // namespace dragonflystair::stand_ins
