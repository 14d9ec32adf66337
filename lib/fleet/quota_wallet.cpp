#include "dragonflystair/fleet/quota_wallet.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Weight of a call in the smoothed cost of calls, and the multiple of that cost at which a call
/// counts at most. A few long prompts cost fifty times as much as others: tokens held for such a
/// call on every node would be most of the rate, while other calls are refused for want of them.
constexpr double cost_weight = 0.1;
constexpr double max_cost_ratio = 3;

/// Limits of the time that a refused caller is told to wait.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{10'000};

/// Time without a refusal after which a quota takes no effect any more.
constexpr std::chrono::seconds quiet_time{5};

/// Seconds of a rate that a node without answers may accumulate of its share, plus the burst's.
constexpr double share_capacity_s = 0.6;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void quota_wallet::configure(std::span<const tenant> tenants) {
    std::map<std::string, account, std::less<>> kept;
    for (const auto& tenant : tenants) {
        if (tenant.rate_per_s <= 0) {
            continue;
        }
        account known;
        if (const auto found = tenants_.find(tenant.name); found != tenants_.end()) {
            known = std::move(found->second);
        }
        known.rate = tenant.rate_per_s;
        known.burst = tenant.burst;
        known.unit = tenant.unit;
        known.plain_cost =
            tenant.plain_call_tokens > 0 ? static_cast<double>(tenant.plain_call_tokens) : 1;
        kept.emplace(tenant.name, std::move(known));
    }
    tenants_ = std::move(kept);
}

double quota_wallet::cost(std::string_view tenant, std::size_t tokens) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return 0;
    }
    if (found->second.unit == quota_unit::requests) {
        return 1;
    }
    return tokens > 0 ? static_cast<double>(tokens) : found->second.plain_cost;
}

/// Returns the tokens that have not expired. Expired ones go back to the allocator.
double quota_wallet::usable(account& known, time_point now) {
    while (!known.tokens.empty() && known.tokens.front().expires <= now) {
        const auto& expired = known.tokens.front();
        known.returned.push_back({expired.expires - quota_grant_lifetime, expired.amount});
        known.tokens.pop_front();
    }
    double sum = 0;
    for (const auto& granted : known.tokens) {
        sum += granted.amount;
    }
    return sum;
}

void quota_wallet::spend(account& known, double cost) {
    while (cost > 0 && !known.tokens.empty()) {
        auto& first = known.tokens.front();
        const double used = std::min(first.amount, cost);
        first.amount -= used;
        cost -= used;
        if (first.amount <= 0) {
            known.tokens.pop_front();
        }
    }
}

bool quota_wallet::uses_share(time_point now) const {
    const auto timeout = answered_request_ ? answer_timeout : first_answer_timeout;
    return unanswered_since_ && now - *unanswered_since_ >= timeout;
}

void quota_wallet::fill_shares(time_point now) {
    if (!uses_share(now)) {
        if (shares_filled_at_) {
            shares_filled_at_.reset();
            for (auto& [name, known] : tenants_) {
                known.share = 0;
            }
        }
        return;
    }
    const auto nodes = static_cast<double>(nodes_);
    const double elapsed = shares_filled_at_ ? seconds_of(now - *shares_filled_at_) : 0;
    shares_filled_at_ = now;
    if (nodes_ == 0) {
        return;
    }
    for (auto& [name, known] : tenants_) {
        known.share = std::min(known.share + known.rate / nodes * elapsed,
                               (known.burst + known.rate * share_capacity_s) / nodes);
    }
}

bool quota_wallet::try_take(account& known, double cost, time_point now) {
    if (usable(known, now) >= cost) {
        spend(known, cost);
        known.held += cost;
        return true;
    }
    fill_shares(now);
    if (known.share >= cost) {
        known.share -= cost;
        known.held += cost;
        return true;
    }
    return false;
}

/// Returns whether `needed` tokens, for a call and those that wait before it, may arrive in time.
bool quota_wallet::comes_in_time(const account& known, double needed, time_point now) const {
    if (!uses_share(now)) {
        // `next_at` is the time for all calls of the last request; these may cost less.
        const double less_s = std::max(known.requested - needed, 0.0) / known.rate;
        return !known.next_at || seconds_of(*known.next_at - now) - less_s <= seconds_of(max_wait);
    }
    if (answered_request_ && now - *unanswered_since_ < answer_wait) {
        return true;
    }
    const double more = known.rate * seconds_of(max_wait);
    return nodes_ > 0 && known.share + more / static_cast<double>(nodes_) >= needed;
}

quota_decision quota_wallet::take(std::string_view tenant, std::uint64_t number, double cost,
                                  time_point now) {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return quota_decision::granted;
    }
    auto& known = found->second;
    known.arrived += cost;
    const double counted =
        known.typical > 0 ? std::min(cost, known.typical * max_cost_ratio) : cost;
    known.typical += (known.typical > 0 ? cost_weight : 1) * (counted - known.typical);
    if (known.waiting.empty() && try_take(known, cost, now)) {
        return quota_decision::granted;
    }
    double before = 0;
    for (const auto& call : known.waiting) {
        before += call.cost;
    }
    if (!comes_in_time(known, before + cost, now)) {
        return quota_decision::refused;
    }
    if (before > known.rate * seconds_of(max_wait) + known.burst) {
        return quota_decision::refused;
    }
    known.waiting.push_back({number, cost});
    call_waits_ = true;
    return quota_decision::waits;
}

std::vector<std::uint64_t> quota_wallet::take_granted(time_point now) {
    std::vector<std::uint64_t> granted;
    fill_shares(now); // The share grows also while there are no calls.
    for (auto& [name, known] : tenants_) {
        while (!known.waiting.empty() && try_take(known, known.waiting.front().cost, now)) {
            granted.push_back(known.waiting.front().number);
            known.waiting.pop_front();
        }
    }
    return granted;
}

void quota_wallet::cancel(std::string_view tenant, std::uint64_t number) {
    if (const auto found = tenants_.find(tenant); found != tenants_.end()) {
        std::erase_if(found->second.waiting,
                      [number](const auto& call) { return call.number == number; });
    }
}

void quota_wallet::on_refused(std::string_view tenant, time_point now) {
    if (const auto found = tenants_.find(tenant); found != tenants_.end()) {
        found->second.refused_at = now;
    }
}

milliseconds quota_wallet::retry_after(std::string_view tenant, double cost, double spread,
                                       time_point now) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return min_retry_after;
    }
    const auto& known = found->second;
    double wait_s = known.next_at ? std::max(seconds_of(*known.next_at - now), 0.0) : 0;
    if (uses_share(now) && nodes_ > 0) {
        wait_s = std::max(cost - known.share, 0.0) * static_cast<double>(nodes_) / known.rate;
    }
    // Calls that were refused meanwhile compete for the same tokens.
    wait_s = (wait_s + cost / known.rate) * (1 + spread) + seconds_of(max_wait) * spread;
    return std::clamp(std::chrono::ceil<milliseconds>(std::chrono::duration<double>(wait_s)),
                      min_retry_after, max_retry_after);
}

void quota_wallet::on_sent(std::string_view tenant, double cost) {
    if (const auto found = tenants_.find(tenant); found != tenants_.end()) {
        found->second.held = std::max(found->second.held - cost, 0.0);
    }
}

void quota_wallet::give_back(std::string_view tenant, double cost, bool sent, time_point taken,
                             time_point now) {
    if (!sent) {
        on_sent(tenant, cost);
    }
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return;
    }
    auto& known = found->second;
    if (uses_share(now)) {
        known.share += cost;
        fill_shares(now);
    } else {
        known.returned.push_back({taken - quota_grant_lifetime, cost});
    }
}

std::vector<quota_change> quota_wallet::take_changes(time_point now) {
    std::vector<quota_change> changes;
    for (auto& [name, known] : tenants_) {
        const bool takes_effect = known.refused_at && now - *known.refused_at < quiet_time;
        if (std::exchange(known.takes_effect, takes_effect) != takes_effect) {
            changes.push_back({name, takes_effect});
        }
    }
    return changes;
}

} // namespace dragonflystair::fleet
