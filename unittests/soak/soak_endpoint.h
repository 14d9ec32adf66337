#pragma once

#include "dragonflystair/net/http_server.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/json.h"
#include "dragonflystair/support/time.h"

#include "guarantee_checker.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflystair::soak {

/// Failure mode of an endpoint.
enum class endpoint_failure {
    none,
    fails,        ///< Runs a call and answers 500.
    loses_answer, ///< Runs a call and closes the connection before the answer is complete.
    full,         ///< Rejects calls with 503 and Retry-After without running them.
};

/// A test endpoint behind the gateways: a plain service or an engine with adapters. It reports each
/// run to `guarantee_checker` and validates the orders that it receives.
class soak_endpoint {
public:
    /// Writes this endpoint's record to the store.
    using registry = std::function<void(const std::string& id, const std::string& record)>;

    static constexpr std::size_t slots = 8;
    static constexpr std::size_t adapter_slots = 4;

    soak_endpoint(const net::executor& context, guarantee_checker& checked, std::string service,
                  std::string name, std::string data_centre, registry publish);

    [[nodiscard]] std::string address() const { return server_.address(); }

    /// Is told of each call that arrives and whether it runs.
    using arrival_hook = std::function<void(const net::http_request& request, bool runs)>;
    /// Sets the hook; before `register_at`.
    void on_arrival(arrival_hook hook) { on_arrival_ = std::move(hook); }

    /// Lets calls beyond the slots wait, as the platform's endpoints do; before `register_at`.
    void set_queue(std::size_t places) { queue_places_ = places; }

    /// Registers the endpoint under the address at which gateways reach it.
    void register_at(const std::string& advertised);
    void set_failure(endpoint_failure failure);
    /// Names a limit of so many requests a second for all gateways together in all answers, or ends
    /// the former one. Reports a violation if more requests arrive than the rule LIMIT allows.
    void name_limit(std::optional<double> per_s);
    /// Announces in the store and in all answers that the endpoint is draining; it continues to
    /// serve. Calls that reach it later are checked if the store is stable and `checked`.
    void announce_draining(bool checked = false);
    /// Removes the endpoint's record; it continues to serve and says nothing. Calls that reach it
    /// later are checked if the store is stable.
    void unlist(bool store_stable);
    /// Restarts under a new id with only the base model loaded.
    void restart();
    /// The same under its id, with a start time that differs by `clock_step` from that of its
    /// former run, as after a crash.
    void restart_in_place(std::chrono::milliseconds clock_step);
    /// Writes its record again, unless it was removed.
    void heartbeat();
    /// Removes a record that was written after its removal, as the platform does after three
    /// heartbeat intervals of silence.
    void expire_record();
    /// Returns its id and its record.
    [[nodiscard]] std::pair<std::string, std::string> record();
    /// Returns whether that line of a gateway's log lists its present run as ready.
    [[nodiscard]] bool is_ready_by(std::string_view line);
    /// Returns the beginning of such lines, up to its id.
    [[nodiscard]] std::string log_prefix();

private:
    struct adapter {
        support::time_point ready_at;
        std::uint64_t version = 1;
    };

    net::awaitable<void> serve(net::http_exchange& exchange);
    net::awaitable<void> serve_call(net::http_exchange& exchange);
    bool take_slot() {
        const std::lock_guard lock(mutex_);
        const bool free = running_ < slots;
        running_ += free ? 1 : 0;
        return free;
    }
    net::awaitable<void> serve_plain(net::http_exchange& exchange, const std::string& id);
    net::awaitable<void> serve_stream(net::http_exchange& exchange, const std::string& id);
    net::http_response take_order(const support::json& order);
    net::http_response report();
    bool misdirected(const net::http_request& request);
    std::optional<support::time_point> withdrawn_since();
    /// Returns the HTTP status with which a call is rejected, or 0 if it is to run.
    int rejection(const net::http_request& request);
    void publish_record();
    void clear_state_locked();
    void check_limit();
    /// Adds the endpoint's state headers (draining, limit, Retry-After) to a response.
    void add_notice(net::http_response& response);
    [[nodiscard]] support::json models_locked() const;
    [[nodiscard]] bool is_engine() const { return service_ == "assistant"; }

    guarantee_checker& checked_;
    std::string service_;
    std::string name_;
    std::string data_centre_;
    registry publish_;
    arrival_hook on_arrival_;
    std::mutex mutex_;
    std::string id_;
    std::string advertised_;
    int starts_ = 0;
    std::chrono::milliseconds started_{1'000'000}; ///< As its clock shows.
    bool listed_ = false;
    std::size_t held_ = 0; ///< Calls that run or wait for a slot.
    std::size_t running_ = 0;
    std::size_t queue_places_ = 0;
    bool draining_ = false;
    /// When the store acknowledged that it leaves or is gone, if calls are checked.
    std::optional<support::time_point> withdrawn_at_;
    endpoint_failure failure_ = endpoint_failure::none;
    std::optional<double> limit_per_s_;
    /// When the first answer named the current limit.
    std::optional<support::time_point> limit_named_at_;
    std::deque<support::time_point> arrivals_; ///< Requests since then that count.
    std::uint64_t orders_accepted_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::map<std::uint64_t, std::string> holders_; ///< Lease holders by fencing number.
    std::map<std::string, adapter> adapters_;
    support::counters counters_;
    net::http_server server_;
};

} // namespace dragonflystair::soak
