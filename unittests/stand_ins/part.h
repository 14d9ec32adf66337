#pragma once

#include "exchange.h"
#include "refusal.h"
#include "section.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace dragonflystair::stand_ins {

class part;

/// All stand-ins by name.
using parts = std::map<std::string, std::shared_ptr<part>>;

/// Parses `IP:PORT`. Throws std::runtime_error if the form is wrong.
asio::ip::tcp::endpoint endpoint_of(const std::string& address);

/// A stand-in server for one component of the platform, such as the log, the store or an engine,
/// with its own address. `POST /control` takes a JSON object whose keys name changes of behaviour,
/// and responds with the server's report; `{}` only requests the report.
class part : public std::enable_shared_from_this<part> {
public:
    /// Binds the address and listens on it. Throws boost::system::system_error on failure.
    part(asio::any_io_executor context, section& settings);
    virtual ~part() = default;
    part(const part&) = delete;
    part& operator=(const part&) = delete;

    /// Returns the address with the port that was bound.
    [[nodiscard]] std::string address() const;
    /// Returns the entry for the VM list; `service` is empty unless this is an endpoint.
    [[nodiscard]] json vm_list_entry() const;
    /// Passes all stand-ins, so that this one can look up the addresses that it needs.
    virtual void connect(const parts& /*all*/) {}
    void start();

protected:
    /// Handles a request and returns the body of a 200 response, or null if it has already
    /// responded. Throws `refusal` for an error status; any other std::exception results in 400.
    virtual awaitable<json> handle(exchange& call) = 0;
    /// Returns the counters and the state that tests check.
    [[nodiscard]] virtual json report() const { return counted_; }

    /// Registers the action of a key of `POST /control`.
    void on_control(std::string key, std::function<void(const json&)> change);
    /// Registers a key that sets a variable.
    template <class Value> void on_control(std::string key, Value& variable) {
        on_control(std::move(key),
                   [&variable](const json& value) { variable = value.get<Value>(); });
    }

    void count(const std::string& counter) { ++counted_[counter]; }
    /// Increments the counter of this reason and throws a `refusal`.
    [[noreturn]] void refuse(http::status status, const std::string& reason);
    [[nodiscard]] asio::any_io_executor context() const { return context_; }
    /// Returns all connections except the one with the current control request.
    [[nodiscard]] std::set<exchange*> other_connections() const;
    awaitable<void> sleep(std::chrono::milliseconds time, double factor = 1) const;

private:
    awaitable<void> accept();
    awaitable<void> serve(asio::ip::tcp::socket socket);
    awaitable<void> answer(exchange& call);
    json control(exchange& call);

    asio::any_io_executor context_;
    std::string name_;
    std::string data_centre_;
    std::string service_;
    asio::ip::tcp::acceptor acceptor_;
    std::map<std::string, std::function<void(const json&)>> changes_;
    std::map<std::string, std::uint64_t> counted_;
    std::set<exchange*> connections_;
    exchange* controlling_ = nullptr;
};

/// Decrements `remaining` and returns true if it was above zero. Used for failures that are to
/// occur a given number of times.
inline bool consume_one(std::uint64_t& remaining) {
    return remaining != 0 && remaining-- != 0;
}

/// Returns `time` multiplied by `factor`.
inline steady::duration scaled(std::chrono::milliseconds time, double factor) {
    return std::chrono::duration_cast<steady::duration>(time * factor);
}

} // namespace dragonflystair::stand_ins
