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

/// All parts by name.
using parts = std::map<std::string, std::shared_ptr<part>>;

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

    /// Address with the port in use.
    [[nodiscard]] std::string address() const;
    /// Entry in the VM list; its service is empty for what is not an endpoint.
    [[nodiscard]] json listing() const;
    /// Tells the part what the others are.
    virtual void connect(const parts& /*all*/) {}
    void start();

protected:
    /// Returns the body of a 200, or null after a stream of its own. Throws refusal, or any other
    /// std::exception for a malformed request, which becomes 400.
    virtual awaitable<json> handle(exchange& call) = 0;
    /// Counters and other facts that tests check.
    [[nodiscard]] virtual json report() const { return counted_; }

    /// Registers what a key of `POST /control` does.
    void on_control(std::string key, std::function<void(const json&)> change);
    /// Registers a key that sets a variable.
    template <class Value> void on_control(std::string key, Value& variable) {
        on_control(std::move(key),
                   [&variable](const json& value) { variable = value.get<Value>(); });
    }

    void count(const std::string& counter) { ++counted_[counter]; }
    /// Counts and throws a refusal.
    [[noreturn]] void refuse(http::status status, const std::string& reason);
    [[nodiscard]] asio::any_io_executor context() const { return context_; }
    /// All connections but the one that carries the control request under way.
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

/// True when `remaining` was above zero, and takes one from it. For failures given as a number of
/// times.
inline bool take_one(std::uint64_t& remaining) {
    return remaining != 0 && remaining-- != 0;
}

/// `time` made longer by `factor`.
inline steady::duration scaled(std::chrono::milliseconds time, double factor) {
    return std::chrono::duration_cast<steady::duration>(time * factor);
}

} // namespace dragonflystair::stand_ins
