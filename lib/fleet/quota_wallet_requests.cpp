#include "dragonflystair/fleet/quota_wallet.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Requests for tokens and their answers.

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Number of nodes from which requests are sent less often, which halves the allocator's work.
constexpr std::size_t many_nodes = 120;

/// Time of use for which tokens are held ahead, beyond the interval between two requests: it covers
/// a round trip between regions, the allocator's turn and uneven arrivals.
constexpr milliseconds ahead_margin{150};

/// Weight of the last interval in the smoothed use. Callers move between nodes within seconds.
constexpr double use_weight = 0.5;
/// Tokens held for a node's next call, as a multiple of the smoothed cost: those of most calls.
constexpr double next_call_ratio = 1.6;
/// Use below this share of one call per second counts as none.
constexpr double negligible_use = 0.1;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

bool quota_wallet::request_due(time_point now) const {
    if (!requested_at_) {
        return true;
    }
    const duration period = nodes_ > many_nodes ? long_request_period : request_period;
    return now - *requested_at_ >= (call_waits_ ? duration{min_request_period} : period);
}

/// Returns tokens to the allocator that exceed what is needed.
void quota_wallet::return_surplus(account& known, double needed) {
    double held = 0;
    for (auto granted = known.tokens.rbegin(); granted != known.tokens.rend(); ++granted) {
        const double kept = std::min(granted->amount, std::max(needed - held, 0.0));
        if (granted->amount > kept) {
            known.returned.push_back(
                {granted->expires - quota_grant_lifetime, granted->amount - kept});
        }
        granted->amount = kept;
        held += kept;
    }
    std::erase_if(known.tokens, [](const auto& granted) { return granted.amount <= 0; });
}

/// Adds the tokens to return to a row, as a whole number, since frames carry no fractions. Tokens
/// of requests too long ago are lost, as after a suspension of the VM: the allocator's bucket has
/// been refilled since.
void quota_wallet::report_returned(account& known, quota_request::row& row, time_point now) {
    std::erase_if(known.returned,
                  [now](const auto& item) { return now - item.requested > quota_return_time; });
    double sum = 0;
    auto oldest = now;
    auto latest = time_point::min();
    for (const auto& item : known.returned) {
        sum += item.amount;
        oldest = std::min(oldest, item.requested);
        latest = std::max(latest, item.requested);
    }
    known.returned.clear();
    row.returned = std::floor(sum);
    row.returned_age = std::chrono::ceil<milliseconds>(now - oldest);
    if (sum > row.returned) {
        known.returned.push_back({latest, sum - row.returned});
    }
}

/// Returns a tenant's row of a request; empty if it has no use for tokens and returns none.
std::optional<quota_request::row> quota_wallet::make_row(const std::string& tenant, account& known,
                                                         duration period, time_point now) {
    const double elapsed =
        requested_at_ ? std::max(seconds_of(now - *requested_at_), seconds_of(min_request_period))
                      : seconds_of(period);
    const double arrived = std::exchange(known.arrived, 0) / elapsed;
    // A longer interval says more of the present use.
    const double weight = std::min(use_weight * elapsed / seconds_of(period), 1.0);
    known.use_per_s += (arrived - known.use_per_s) * weight;
    if (known.use_per_s < negligible_use * std::max(known.typical, 1.0) * weight) {
        known.use_per_s = 0;
    }
    double waiting = 0;
    double quantum = known.use_per_s > 0 ? known.typical : 0;
    for (const auto& call : known.waiting) {
        waiting += call.cost;
        quantum = std::max(quantum, call.cost);
    }
    const double held = usable(known, now);
    double lasting = 0; // Until the answer to the next request, as far as that is not late.
    for (const auto& granted : known.tokens) {
        lasting += granted.expires > now + period ? granted.amount : 0;
    }
    const double ahead = known.use_per_s * seconds_of(period + ahead_margin);
    // While tokens are scarce, none are held for a next call that may not come.
    const bool scarce = known.next_at && *known.next_at > now;
    const double needed =
        waiting +
        (known.use_per_s > 0 && !scarce ? std::max(ahead, known.typical * next_call_ratio) : ahead);
    return_surplus(known, std::ceil(needed + held - lasting));
    known.requested = waiting + quantum;
    if (uses_share(now)) {
        known.returned.clear(); // The allocator may be another one.
    }
    quota_request::row row{.tenant = tenant,
                           .wanted = std::max(needed - lasting, 0.0),
                           .waiting = std::max(waiting - held, 0.0),
                           .quantum = quantum,
                           .held = known.held};
    report_returned(known, row, now);
    if (row.wanted <= 0 && row.returned <= 0 && known.use_per_s <= 0 && known.held <= 0) {
        known.next_at.reset();
        return std::nullopt;
    }
    return row;
}

std::optional<quota_request> quota_wallet::take_due_request(time_point now) {
    if (tenants_.empty() || !request_due(now)) {
        return std::nullopt;
    }
    const duration period = nodes_ > many_nodes ? long_request_period : request_period;
    quota_request request;
    for (auto& [name, known] : tenants_) {
        if (auto row = make_row(name, known, period, now)) {
            request.rows.push_back(std::move(*row));
        }
    }
    requested_at_ = now;
    call_waits_ = false;
    if (request.rows.empty() && !unanswered_since_) {
        return std::nullopt;
    }
    unanswered_since_ = unanswered_since_.value_or(now);
    request.stamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
    if (answered_request_) {
        request.answered =
            static_cast<std::uint64_t>(answered_request_->time_since_epoch().count());
    }
    request.uses_share = uses_share(now);
    return request;
}

void quota_wallet::on_answer(std::span<const quota_grant::row> rows, time_point requested,
                             time_point now) {
    const auto expires = requested + quota_grant_lifetime;
    if (requested > now) {
        return;
    }
    if (expires > now && (!answered_request_ || requested >= *answered_request_)) {
        answered_request_ = requested;
        if (requested_at_ && requested < *requested_at_) {
            unanswered_since_ = *requested_at_;
        } else {
            unanswered_since_.reset();
        }
        fill_shares(now);
    }
    for (const auto& row : rows) {
        const auto found = tenants_.find(row.tenant);
        if (found == tenants_.end() || row.amount < 0) {
            continue;
        }
        auto& known = found->second;
        known.next_at = now + row.next_in;
        if (expires <= now && row.amount > 0) {
            // The allocator would count tokens of late answers as spent.
            known.returned.push_back({requested, row.amount});
        } else if (row.amount > 0) {
            const auto place =
                std::ranges::upper_bound(known.tokens, expires, {}, &granted_tokens::expires);
            known.tokens.insert(place, {expires, row.amount});
        }
    }
}

} // namespace dragonflystair::fleet
