#include "dragonflystair/policy/load_permits.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <utility>

namespace dragonflystair::policy {

namespace {

using key = std::pair<std::string, std::string>;

/// Part of the rate that is used while loads fail; halves with each failure down to the lowest, so
/// that a store in trouble is only probed, and grows back without a burst.
constexpr double lowest_rate_factor = 1.0 / 16;
constexpr double failure_factor = 0.5;
constexpr double success_factor = 1.5;

/// Urgency that a waiting request gains each second, so that none waits for ever.
constexpr double urgency_per_second = 1.0;

/// Numbers of one holder; at six loads a second they last for two days, and a wrap into the numbers
/// of a later grant needs that grant's permits to be outstanding at the same time.
constexpr unsigned number_bits = 20;

struct waiting_request {
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
    support::time_point first_grant;
    std::map<key, waiting_request> waiting;
    std::map<std::uint64_t, outstanding_permit> outstanding;
    std::deque<support::time_point> grants; // Within the rate's window.
    double rate_factor = 1;
    std::uint64_t last_number = 0;

    [[nodiscard]] double rate() const { return limits.loads_per_second * rate_factor; }

    /// Grants in any window of `window()` stay at or below this.
    [[nodiscard]] std::size_t window_grants() const {
        return static_cast<std::size_t>(std::max(1.0, std::floor(rate())));
    }

    [[nodiscard]] support::duration window() const {
        using seconds = std::chrono::duration<double>;
        const seconds one_grant{1 / std::max(rate(), 1e-3)};
        return std::chrono::ceil<support::duration>(std::max(one_grant, seconds{1}));
    }

    [[nodiscard]] bool live(const outstanding_permit& item, support::time_point now) const {
        return now - item.granted < limits.permit_lifetime;
    }

    [[nodiscard]] std::size_t live_count(support::time_point now) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            outstanding, [&](const auto& item) { return live(item.second, now); }));
    }

    [[nodiscard]] std::size_t most_outstanding() const {
        return std::min(limits.concurrent_loads, limits.transit_limit);
    }

    [[nodiscard]] bool held(const key& wanted) const {
        return std::ranges::any_of(outstanding, [&](const auto& item) {
            return item.second.permit.endpoint == wanted.first &&
                   item.second.permit.adapter == wanted.second;
        });
    }

    void forget_old(support::time_point now) {
        std::erase_if(outstanding, [&](const auto& item) { return !live(item.second, now); });
        std::erase_if(waiting, [&](const auto& item) {
            return now - item.second.renewed >= request_lifetime;
        });
        // The window grows when loads fail, so grants are kept for the longest one.
        const auto longest = window() * static_cast<int>(1 / lowest_rate_factor);
        while (!grants.empty() && now - grants.front() >= longest) {
            grants.pop_front();
        }
    }

    /// Earliest time at which the rate allows a grant.
    [[nodiscard]] support::time_point rate_allows(support::time_point now) const {
        const auto most = window_grants();
        if (grants.size() < most) {
            return std::max(now, first_grant);
        }
        return std::max({now, first_grant, grants[grants.size() - most] + window()});
    }

    [[nodiscard]] bool may_grant(support::time_point now) const {
        return rate_allows(now) <= now && live_count(now) < most_outstanding();
    }

    /// A request whose permit is outstanding waits until that one is given back or has ended: its
    /// owner may still use it.
    auto most_urgent(support::time_point now) {
        auto best = waiting.end();
        double best_urgency = 0;
        for (auto place = waiting.begin(); place != waiting.end(); ++place) {
            const std::chrono::duration<double> age = now - place->second.since;
            const double urgency = place->second.urgency + age.count() * urgency_per_second;
            if ((best == waiting.end() || urgency > best_urgency) && !held(place->first)) {
                best = place;
                best_urgency = urgency;
            }
        }
        return best;
    }
};

load_permits::load_permits(store_limits limits, support::time_point start, std::uint64_t grant)
    : impl_(std::make_unique<impl>()) {
    impl_->last_number = grant << number_bits;
    impl_->limits = limits;
    impl_->first_grant = start + limits.permit_lifetime;
}
load_permits::~load_permits() = default;
load_permits::load_permits(load_permits&&) noexcept = default;
load_permits& load_permits::operator=(load_permits&&) noexcept = default;

void load_permits::set_limits(store_limits limits) {
    impl_->limits = limits;
}

void load_permits::request(std::string_view endpoint, std::string_view adapter, double urgency,
                           support::time_point now) {
    const auto [place, fresh] =
        impl_->waiting.try_emplace(key{endpoint, adapter}, waiting_request{urgency, now, now});
    if (!fresh) {
        place->second.urgency = urgency;
        place->second.renewed = now;
    }
}

void load_permits::withdraw(std::string_view endpoint, std::string_view adapter) {
    impl_->waiting.erase(key{endpoint, adapter});
}

void load_permits::return_permit(std::uint64_t number, bool failed, support::time_point now) {
    if (impl_->outstanding.erase(number) == 0) {
        return;
    }
    impl_->forget_old(now);
    const double changed = impl_->rate_factor * (failed ? failure_factor : success_factor);
    impl_->rate_factor = std::clamp(changed, lowest_rate_factor, 1.0);
}

std::vector<load_permit> load_permits::poll(support::time_point now) {
    impl_->forget_old(now);
    std::vector<load_permit> granted;
    while (impl_->may_grant(now)) {
        const auto place = impl_->most_urgent(now);
        if (place == impl_->waiting.end()) {
            break;
        }
        const load_permit permit{++impl_->last_number, place->first.first, place->first.second};
        impl_->waiting.erase(place);
        impl_->outstanding.emplace(permit.number, outstanding_permit{permit, now});
        impl_->grants.push_back(now);
        granted.push_back(permit);
    }
    return granted;
}

std::size_t load_permits::waiting() const {
    return impl_->waiting.size();
}

std::size_t load_permits::outstanding(support::time_point now) const {
    return impl_->live_count(now);
}

std::optional<support::time_point> load_permits::next_wakeup(support::time_point now) const {
    if (impl_->waiting.empty()) {
        return std::nullopt;
    }
    auto next = impl_->rate_allows(now);
    if (impl_->live_count(now) >= impl_->most_outstanding()) {
        auto first_end = support::time_point::max();
        for (const auto& [number, item] : impl_->outstanding) {
            first_end = std::min(first_end, item.granted + impl_->limits.permit_lifetime);
        }
        next = std::max(next, first_end);
    }
    return next;
}

} // namespace dragonflystair::policy
