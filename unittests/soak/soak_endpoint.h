#pragma once

#include "dragonflystair/net/http_server.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include "promises.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace dragonflystair::soak {

/// What an endpoint does to calls.
enum class endpoint_trouble {
    none,
    fails,        ///< Runs a call and answers 500.
    loses_answer, ///< Runs a call and breaks its answer off.
    full,         ///< Rejects calls without running them and says when to come back.
};

/// An endpoint before which gateways stand: a plain one or an engine with adapters. It counts what
/// it runs and checks the orders that it gets.
class soak_endpoint {
public:
    /// Tells the store what this endpoint says of itself.
    using registry = std::function<void(const std::string& id, const std::string& record)>;

    static constexpr std::size_t slots = 8;
    static constexpr std::size_t adapter_slots = 4;

    soak_endpoint(const net::executor& context, promises& checked, std::string service,
                  std::string name, std::string data_centre, registry publish);

    [[nodiscard]] std::string address() const { return server_.address(); }

    /// Registers under the address by which gateways reach it.
    void enter(const std::string& advertised);
    void set_trouble(endpoint_trouble trouble);
    /// Says that it leaves, to the store and in all answers, and goes on serving.
    void announce_leaving();
    /// Starts again under a new id, with nothing loaded but the base model.
    void restart();

private:
    struct adapter {
        support::time_point ready_at;
        std::uint64_t version = 1;
    };

    net::awaitable<void> serve(net::http_exchange& exchange);
    net::awaitable<void> serve_call(net::http_exchange& exchange);
    net::awaitable<void> serve_plain(net::http_exchange& exchange, const std::string& id);
    net::awaitable<void> serve_stream(net::http_exchange& exchange, const std::string& id);
    net::http_response take_order(const support::json& order);
    net::http_response report();
    bool misdirected(const net::http_request& request);
    /// Why a call is not run: an HTTP status, or 0.
    int rejection(const net::http_request& request);
    void publish_record(const std::string& state);
    /// Adds what the endpoint says about itself in every answer.
    void add_notice(net::http_response& response);
    [[nodiscard]] support::json models_locked() const;
    [[nodiscard]] bool is_engine() const { return service_ == "assistant"; }

    promises& checked_;
    std::string service_;
    std::string name_;
    std::string data_centre_;
    registry publish_;
    std::mutex mutex_;
    std::string id_;
    std::string advertised_;
    int starts_ = 0;
    std::size_t running_ = 0;
    bool leaving_ = false;
    endpoint_trouble trouble_ = endpoint_trouble::none;
    std::uint64_t orders_accepted_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::map<std::uint64_t, std::string> holders_; ///< By fencing number.
    std::map<std::string, adapter> adapters_;
    support::counters counters_;
    net::http_server server_;
};

} // namespace dragonflystair::soak
