#pragma once

#include "exchange.h"
#include "section.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace dragonflystair::stand_ins {

/// Reads `IP:PORT`. Throws std::runtime_error.
asio::ip::tcp::endpoint endpoint_of(const std::string& address);

/// One stand-in with its own address. `POST /control` takes a JSON object whose keys name changes
/// of behaviour, and answers with the part's report; `{}` only asks for the report.
class part : public std::enable_shared_from_this<part> {
public:
    /// Binds and listens at once. Throws boost::system::system_error.
    part(asio::any_io_executor context, section& settings);
    virtual ~part() = default;
    part(const part&) = delete;
    part& operator=(const part&) = delete;

    [[nodiscard]] const std::string& name() const { return name_; }
    /// Address with the port in use.
    [[nodiscard]] std::string address() const;
    void start();

protected:
    virtual awaitable<void> handle(exchange& call) = 0;
    /// Counters and other facts that tests check.
    [[nodiscard]] virtual json report() const { return counted_; }

    /// Registers what a key of `POST /control` does.
    void on_control(std::string key, std::function<void(const json&)> change);
    /// Registers a key that sets a variable. `{"slow":2}` then means twice as slow.
    template <class Value> void on_control(std::string key, Value& variable) {
        on_control(std::move(key),
                   [&variable](const json& value) { variable = value.get<Value>(); });
    }

    void count(const std::string& counter) { ++counted_[counter]; }
    [[nodiscard]] asio::any_io_executor context() const { return context_; }
    /// All connections but the one that carries the control request under way.
    [[nodiscard]] std::set<exchange*> other_connections() const;
    awaitable<void> sleep(std::chrono::nanoseconds time);

private:
    awaitable<void> accept();
    awaitable<void> serve(asio::ip::tcp::socket socket);
    awaitable<void> answer(exchange& call);
    awaitable<void> control(exchange& call);

    asio::any_io_executor context_;
    std::string name_;
    asio::ip::tcp::acceptor acceptor_;
    std::map<std::string, std::function<void(const json&)>> changes_;
    std::map<std::string, std::uint64_t> counted_;
    std::set<exchange*> connections_;
    exchange* controlling_ = nullptr;
};

/// True when `remaining` was above zero, and takes one from it. For failures given as a number of
/// times.
inline bool take_one(std::uint64_t& remaining) {
    if (remaining == 0) {
        return false;
    }
    --remaining;
    return true;
}

} // namespace dragonflystair::stand_ins
