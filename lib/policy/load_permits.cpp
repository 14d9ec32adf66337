#include "dragonflystair/policy/load_permits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <utility>

namespace dragonflystair::policy {

namespace {

using request_key = std::pair<std::string, std::string>;

/// Factor on the grant rate. Each failed load halves it, down to the minimum, so that a store in
/// trouble gets only a few loads; each successful load raises it step by step, which avoids a burst
/// when the store recovers.
constexpr double min_rate_factor = 1.0 / 16;
constexpr double failure_factor = 0.5;
constexpr double success_factor = 1.5;

/// Urgency that a pending request gains per second, so that no request starves.
constexpr double urgency_per_second = 1.0;

/// Bits of a permit number that count the permits of one holder. At six loads per second the range
/// lasts for two days. Beyond it the numbers run into those of a later grant, which matters only
/// if permits of both are outstanding at the same time.
constexpr unsigned number_bits = 20;

struct pending_request {
    double urgency = 0;
    support::time_point since;
    support::time_point renewed;
};

struct outstanding_permit {
    load_permit permit;
    support::time_point granted;
};

} // namespace

struct load_permits::impl {
    store_limits limits;
    support::time_point grants_from;
    std::map<request_key, pending_request> pending;
    std::map<std::uint64_t, outstanding_permit> outstanding;
    std::deque<support::time_point> grants; // Times of recent grants, for the rate limit.
    double rate_factor = 1;
    std::uint64_t last_number = 0;

    [[nodiscard]] double rate() const { return limits.loads_per_second * rate_factor; }

    /// Maximum number of grants in any interval of length `window()`.
    [[nodiscard]] std::size_t max_grants_per_window() const {
        return static_cast<std::size_t>(std::max(1.0, std::floor(rate())));
    }

    [[nodiscard]] support::duration window() const {
        using seconds = std::chrono::duration<double>;
        const seconds one_grant{1 / std::max(rate(), 1e-3)};
        return std::chrono::ceil<support::duration>(std::max(one_grant, seconds{1}));
    }

    [[nodiscard]] bool unexpired(const outstanding_permit& item, support::time_point now) const {
        return now - item.granted < limits.permit_lifetime;
    }

    [[nodiscard]] std::size_t unexpired_count(support::time_point now) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            outstanding, [&](const auto& item) { return unexpired(item.second, now); }));
    }

    [[nodiscard]] std::size_t max_outstanding() const {
        return std::min(limits.concurrent_loads, limits.transit_limit);
    }

    [[nodiscard]] bool has_outstanding(const request_key& requested) const {
        return std::ranges::any_of(outstanding, [&](const auto& item) {
            return item.second.permit.endpoint == requested.first &&
                   item.second.permit.adapter == requested.second;
        });
    }

    void erase_expired(support::time_point now) {
        std::erase_if(outstanding, [&](const auto& item) { return !unexpired(item.second, now); });
        std::erase_if(pending, [&](const auto& item) {
            return now - item.second.renewed >= request_lifetime;
        });
        // The window grows when loads fail, so grants are kept for the longest possible one.
        const auto longest_window = window() * static_cast<int>(1 / min_rate_factor);
        while (!grants.empty() && now - grants.front() >= longest_window) {
            grants.pop_front();
        }
    }

    /// Returns the earliest time at which the rate limit allows a grant.
    [[nodiscard]] support::time_point next_allowed_by_rate(support::time_point now) const {
        const auto max_grants = max_grants_per_window();
        if (grants.size() < max_grants) {
            return std::max(now, grants_from);
        }
        return std::max({now, grants_from, grants[grants.size() - max_grants] + window()});
    }

    [[nodiscard]] bool may_grant(support::time_point now) const {
        return next_allowed_by_rate(now) <= now && unexpired_count(now) < max_outstanding();
    }

    /// Returns the most urgent request without an outstanding permit. A request for which a permit
    /// is outstanding waits until that permit is returned or has expired, since its owner may still
    /// use it.
    auto most_urgent(support::time_point now) {
        auto chosen = pending.end();
        double chosen_urgency = 0;
        for (auto it = pending.begin(); it != pending.end(); ++it) {
            const std::chrono::duration<double> age = now - it->second.since;
            const double urgency = it->second.urgency + age.count() * urgency_per_second;
            if ((chosen == pending.end() || urgency > chosen_urgency) &&
                !has_outstanding(it->first)) {
                chosen = it;
                chosen_urgency = urgency;
            }
        }
        return chosen;
    }
};

load_permits::load_permits(store_limits limits, support::time_point start, std::uint64_t grant)
    : impl_(std::make_unique<impl>()) {
    impl_->last_number = grant << number_bits;
    impl_->limits = limits;
    impl_->grants_from = start + limits.permit_lifetime;
}
load_permits::~load_permits() = default;
load_permits::load_permits(load_permits&&) noexcept = default;
load_permits& load_permits::operator=(load_permits&&) noexcept = default;

void load_permits::set_limits(store_limits limits) {
    impl_->limits = limits;
}

void load_permits::request(std::string_view endpoint, std::string_view adapter, double urgency,
                           support::time_point now) {
    const auto [it, inserted] = impl_->pending.try_emplace(request_key{endpoint, adapter},
                                                           pending_request{urgency, now, now});
    if (!inserted) {
        it->second.urgency = urgency;
        it->second.renewed = now;
    }
}

void load_permits::withdraw(std::string_view endpoint, std::string_view adapter) {
    impl_->pending.erase(request_key{endpoint, adapter});
}

void load_permits::return_permit(std::uint64_t number, bool failed, support::time_point now) {
    if (impl_->outstanding.erase(number) == 0) {
        return;
    }
    impl_->erase_expired(now);
    const double new_factor = impl_->rate_factor * (failed ? failure_factor : success_factor);
    impl_->rate_factor = std::clamp(new_factor, min_rate_factor, 1.0);
}

std::vector<load_permit> load_permits::poll(support::time_point now) {
    impl_->erase_expired(now);
    std::vector<load_permit> granted;
    while (impl_->may_grant(now)) {
        const auto it = impl_->most_urgent(now);
        if (it == impl_->pending.end()) {
            break;
        }
        const load_permit permit{++impl_->last_number, it->first.first, it->first.second};
        impl_->pending.erase(it);
        impl_->outstanding.emplace(permit.number, outstanding_permit{permit, now});
        impl_->grants.push_back(now);
        granted.push_back(permit);
    }
    return granted;
}

std::size_t load_permits::waiting() const {
    return impl_->pending.size();
}

std::size_t load_permits::outstanding(support::time_point now) const {
    return impl_->unexpired_count(now);
}

std::optional<support::time_point> load_permits::next_wakeup(support::time_point now) const {
    if (impl_->pending.empty()) {
        return std::nullopt;
    }
    auto next = impl_->next_allowed_by_rate(now);
    if (impl_->unexpired_count(now) >= impl_->max_outstanding()) {
        auto first_expiry = support::time_point::max();
        for (const auto& [number, item] : impl_->outstanding) {
            first_expiry = std::min(first_expiry, item.granted + impl_->limits.permit_lifetime);
        }
        next = std::max(next, first_expiry);
    }
    return next;
}

} // namespace dragonflystair::policy
