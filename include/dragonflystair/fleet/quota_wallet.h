#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/quota_messages.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Whether a call may be sent, as far as its tenant's quota goes.
enum class quota_decision {
    granted, ///< Its tokens are taken.
    waits,   ///< An answer that may bring its tokens is outstanding.
    refused,
};

/// Start or end of the time in which a tenant's calls are refused because of its quota.
struct quota_change {
    std::string tenant;
    bool takes_effect = false;
};

/// This node's tokens for the calls of tenants with quotas. The allocator grants them ahead of
/// need: the node requests what the calls of the next moments are likely to cost, by recent use,
/// and what waiting calls cost. Tokens that are not needed after all are returned to the allocator,
/// so that nodes to which the callers move get them at once.
///
/// A node without answers spends an equal share of the rate, starting from nothing. Has no clock
/// and does no I/O. Work per call is a lookup by tenant.
class quota_wallet {
public:
    /// Time without an answer after which the equal share is used. All grants have expired then.
    static constexpr std::chrono::milliseconds answer_timeout = quota_grant_lifetime;
    /// Time without an answer up to which calls still wait for one.
    static constexpr std::chrono::milliseconds answer_wait{1'000};
    /// The same for a node that has had no answer since its start.
    static constexpr std::chrono::milliseconds first_answer_timeout{250};
    /// Interval between requests while there are calls, in small and in large systems.
    static constexpr std::chrono::milliseconds request_period{200};
    static constexpr std::chrono::milliseconds long_request_period{300};
    /// Interval between requests of a node whose calls wait for tokens that nobody requested yet.
    static constexpr std::chrono::milliseconds min_request_period{50};
    /// Longest wait of a call for its tokens.
    static constexpr std::chrono::milliseconds max_wait{250};
    /// Sets the tenants; only those with a rate are limited.
    void configure(std::span<const tenant> tenants);
    /// Sets the number of nodes that share the rates while there are no answers; 0 if it is not
    /// known, which allows none.
    void set_nodes(std::size_t nodes) { nodes_ = nodes; }
    [[nodiscard]] bool limited(std::string_view tenant) const { return tenants_.contains(tenant); }
    [[nodiscard]] bool any_limited() const { return !tenants_.empty(); }
    /// Returns what a call costs, with its number of tokens, or 0 if it does not say.
    [[nodiscard]] double cost(std::string_view tenant, std::size_t tokens) const;

    /// Takes the tokens of a call, or queues the call for them. `number` identifies the call.
    quota_decision take(std::string_view tenant, std::uint64_t number, double cost,
                        support::time_point now);
    /// Returns the waiting calls that have got their tokens since.
    std::vector<std::uint64_t> take_granted(support::time_point now);
    /// Removes a waiting call.
    void cancel(std::string_view tenant, std::uint64_t number);
    /// Records that a call was refused because of its quota.
    void on_refused(std::string_view tenant, support::time_point now);
    /// Returns the time after which a call of that cost is likely to get its tokens. `spread`, from
    /// 0 to 1, differs from call to call, so that callers do not return all at once.
    [[nodiscard]] std::chrono::milliseconds
    retry_after(std::string_view tenant, double cost, double spread, support::time_point now) const;
    /// Records that a call whose tokens are taken is sent for the first time.
    void on_sent(std::string_view tenant, double cost);
    /// Gives back the tokens of a call that has not been run by an endpoint.
    /// `sent` is whether the call was sent.
    void give_back(std::string_view tenant, double cost, bool sent, support::time_point taken,
                   support::time_point now);

    /// Returns the request that is due, if any.
    std::optional<quota_request> take_due_request(support::time_point now);
    /// Records an answer to the request that was sent at `requested`.
    void on_answer(std::span<const quota_grant::row> rows, support::time_point requested,
                   support::time_point now);

    [[nodiscard]] bool uses_share(support::time_point now) const;
    std::vector<quota_change> take_changes(support::time_point now);

private:
    struct granted_tokens {
        support::time_point expires;
        double amount = 0;
    };
    struct returned_tokens {
        support::time_point requested; ///< When their grant was requested, or earlier.
        double amount = 0;
    };
    struct waiting_call {
        std::uint64_t number = 0;
        double cost = 0;
    };
    struct account {
        double rate = 0;
        double burst = 0;
        quota_unit unit = quota_unit::requests;
        double plain_cost = 1;
        std::deque<granted_tokens> tokens;    ///< In the order of their expiry.
        double held = 0;                      ///< Of calls that are not sent yet.
        std::deque<returned_tokens> returned; ///< Not reported to the allocator yet.
        std::deque<waiting_call> waiting;
        double arrived = 0;   ///< Cost of the calls since the last request.
        double use_per_s = 0; ///< Smoothed cost of calls.
        double typical = 0;   ///< Smoothed cost of a call without outliers.
        double requested = 0; ///< Cost of the waiting calls and of one more at the last request.
        std::optional<support::time_point> next_at; ///< When the missing tokens are expected.
        double share = 0;                           ///< Tokens of the equal share.
        std::optional<support::time_point> refused_at;
        bool takes_effect = false;
    };

    static double usable(account& known, support::time_point now);
    static void spend(account& known, double cost);
    static void return_surplus(account& known, double needed);
    static void report_returned(account& known, quota_request::row& row, support::time_point now);
    void fill_shares(support::time_point now);
    [[nodiscard]] bool comes_in_time(const account& known, double needed,
                                     support::time_point now) const;
    bool try_take(account& known, double cost, support::time_point now);
    [[nodiscard]] bool request_due(support::time_point now) const;
    std::optional<quota_request::row> make_row(const std::string& tenant, account& known,
                                               support::duration period, support::time_point now);

    std::size_t nodes_ = 0;
    std::map<std::string, account, std::less<>> tenants_;
    std::optional<support::time_point> requested_at_;
    std::optional<support::time_point>
        answered_request_; ///< When the latest answered one was sent.
    std::optional<support::time_point> unanswered_since_;
    std::optional<support::time_point> shares_filled_at_;
    bool call_waits_ = false; ///< Since the last request.
};

} // namespace dragonflystair::fleet
