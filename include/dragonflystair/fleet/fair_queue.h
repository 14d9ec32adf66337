#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/support/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

struct pending_call;

/// Order in which the waiting calls of a dispatcher start and are refused. Calls without a tenant
/// are ordered by their objective deadline, later by `priority_step` for each priority step.
///
/// Calls of tenants are ordered by start-time fair queueing, separately for each service. A call
/// costs its prompt tokens and maximum output tokens. A service's virtual time is the cost per
/// weight that the tenants with calls have been served. Each tenant is due at the virtual time up
/// to which its started calls have used its share, and its waiting calls follow one another at
/// their cost divided by its weight. A less urgent call is due later by the virtual time of a
/// `priority_step` for each step, so that it is delayed but not starved. A tenant that sends more
/// than its share, or repeats refused calls, thus delays its own calls only. Calls without a tenant
/// compete with those of tenants as if they were of one tenant of mean weight.
///
/// Load patterns it is designed for: one tenant sends several times its usual load, or repeats
/// refused calls at once, while the others stay within their shares; short calls and prompts of
/// fifteen times their length in one queue. Has no clock: the time is an argument.
class fair_queue {
    struct tenant_use;
    struct service_use;

public:
    /// A call in the queue.
    class waiting_call {
    public:
        [[nodiscard]] std::uint64_t number() const { return number_; }
        /// Time until the call starts if its tenant gets no more than its share; zero if the call
        /// has no tenant or the service's throughput is not known.
        [[nodiscard]] support::duration expected_wait() const { return expected_wait_; }

    private:
        friend class fair_queue;
        std::uint64_t number_ = 0;
        support::duration expected_wait_{};
        service_use* service_ = nullptr;
        tenant_use* use_ = nullptr;
        bool has_tenant_ = false;
        support::time_point key_; ///< Objective deadline with the offset for its priority.
        double cost_ = 0;
        int priority_ = 0;
        double rank_ = 0; ///< Virtual time at which it is due, with the same offset.
    };

    /// Sets the weights of the tenants: their rates, or the mean rate for those without one. All
    /// weights are equal if no tenant has a rate.
    void configure(std::span<const tenant> tenants);

    void add(const pending_call& call);
    /// Removes a call that was refused or has ended; no effect if it does not wait.
    void erase(std::uint64_t number);
    /// Removes a call that was sent to an endpoint and charges it to its tenant.
    void start(std::uint64_t number);

    /// Returns the calls in the order in which they are to be evaluated; valid until the next
    /// change.
    std::span<const waiting_call> order(support::time_point now);
    /// Notes that a call of the service remains in the queue after the evaluation since no slot was
    /// free. The throughput of a service is measured while such calls wait.
    void on_no_slot(std::string_view service);

    /// Returns the calls in the order of the last evaluation, followed by those added since.
    [[nodiscard]] std::span<const waiting_call> calls() const { return calls_; }
    [[nodiscard]] bool empty() const { return calls_.empty(); }
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    /// Use of a service by one tenant.
    struct tenant_use {
        double weight = 1;
        double due = 0; ///< Virtual time at which its next call is due.
        std::size_t waiting = 0;
        double started = 0;    ///< Cost of the calls started in the current measurement.
        double cost_per_s = 0; ///< Throughput in the last measurement.
        // Used while calls are ranked.
        double next_due = 0;  ///< Virtual time at which the tenant's next call in order is due.
        double last_rank = 0; ///< Rank of the tenant's previous call in order.
    };

    /// State of one service.
    struct service_use {
        std::map<std::string, tenant_use, std::less<>>
            tenants; ///< By tenant; the empty name is none.
        double virtual_time = 0;
        /// Virtual time per second while calls wait for slots, if each tenant uses its share; 0 if
        /// it is not known.
        double speed = 0;
        /// Its speed as observed; higher if other tenants use less than their shares.
        double observed_speed = 0;
        double advanced = 0;    ///< Advance of the virtual time in the current measurement.
        double cost_per_s = 0;  ///< Throughput while calls wait for slots; 0 if it is not known.
        double recent_cost = 0; ///< Of the calls started, reduced exponentially with time.
        double rank_speed = 0;  ///< Speed used for ranks, also before the first measurement.
        bool no_slot = false;   ///< Whether calls wait for slots since the last evaluation.
        bool was_busy = false;  ///< Whether calls waited for slots until the last evaluation.
        std::size_t started_calls = 0;    ///< In the current measurement.
        support::duration busy{};         ///< Length of the current measurement.
        support::time_point evaluated_at; ///< Time of the last evaluation.
        support::time_point busy_until;   ///< When calls last waited for slots.
    };

    [[nodiscard]] double weight_of(std::string_view tenant) const;
    static void measure(service_use& service, support::time_point now);
    static void finish_measurement(service_use& service);
    void rank_calls();
    std::optional<waiting_call> take(std::uint64_t number);

    std::map<std::string, double, std::less<>> weights_; ///< Relative to their mean.
    std::map<std::string, service_use, std::less<>> services_;
    std::vector<waiting_call> calls_;
    std::size_t with_tenant_ = 0; ///< Calls in the queue that have a tenant.
};

} // namespace dragonflystair::fleet
