#include "dragonflystair/fleet/send_permits.h"

#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Time for which a fallback slot can be used. An unused one lapses, so that nodes that were idle
/// do not all send at once.
constexpr milliseconds max_slot_length{1'000};

/// An expected permit that is overdue by more than this says nothing about those after it.
constexpr milliseconds max_estimate_age{500};

duration seconds_to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

send_permits::send_permits(std::string node) : node_(std::move(node)) {}

void send_permits::set_limit(std::string_view endpoint, std::optional<double> per_s) {
    const auto found = entries_.find(endpoint);
    if (!per_s) {
        if (found != entries_.end()) {
            entries_.erase(found);
        }
        return;
    }
    auto& known = found == entries_.end() ? entries_[std::string(endpoint)] : found->second;
    known.per_s = std::max(*per_s, min_endpoint_rate);
}

void send_permits::set_nodes(std::size_t nodes) {
    nodes_ = std::max<std::size_t>(nodes, 1);
}

bool send_permits::limited(std::string_view endpoint) const {
    return entries_.contains(endpoint);
}

send_permits::slot_position send_permits::slot_at(std::string_view endpoint, const entry& known,
                                                  time_point now) const {
    constexpr std::uint64_t steps = 1'000'000;
    const auto hash = support::fingerprint(node_ + '\n' + std::string(endpoint)) % steps;
    const double phase = static_cast<double>(hash) / static_cast<double>(steps);
    const double period_s = static_cast<double>(nodes_) / (fallback_share * known.per_s);
    slot_position position;
    position.period = std::max(seconds_to_duration(period_s), duration{1});
    const auto shifted = now.time_since_epoch() + seconds_to_duration(phase * period_s);
    position.number = shifted / position.period;
    position.elapsed = shifted % position.period;
    return position;
}

bool send_permits::uses_fallback(const entry& known, time_point now) {
    return known.unanswered_since && now - *known.unanswered_since >= answer_timeout;
}

bool send_permits::slot_open(std::string_view endpoint, const entry& known, time_point now) const {
    if (!uses_fallback(known, now)) {
        return false;
    }
    const auto slot = slot_at(endpoint, known, now);
    return slot.elapsed < max_slot_length && known.used_slot != slot.number;
}

bool send_permits::allows(std::string_view endpoint, time_point now) const {
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return true;
    }
    const auto& known = found->second;
    return std::ranges::any_of(known.permits, [now](auto expiry) { return expiry > now; }) ||
           slot_open(endpoint, known, now);
}

bool send_permits::take(std::string_view endpoint, time_point now) {
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return true;
    }
    auto& known = found->second;
    std::erase_if(known.permits, [now](auto expiry) { return expiry <= now; });
    if (!known.permits.empty()) {
        known.permits.pop_back();
        return true;
    }
    if (!slot_open(endpoint, known, now)) {
        return false;
    }
    known.used_slot = slot_at(endpoint, known, now).number;
    return true;
}

time_point send_permits::expected_at(std::string_view endpoint, std::size_t ahead,
                                     time_point now) const {
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return now;
    }
    const auto& known = found->second;
    const auto position = static_cast<std::int64_t>(ahead);
    if (uses_fallback(known, now)) {
        const auto slot = slot_at(endpoint, known, now);
        const auto begins =
            slot_open(endpoint, known, now) ? now : now + slot.period - slot.elapsed;
        return begins + slot.period * position;
    }
    const auto usable =
        std::ranges::count_if(known.permits, [now](auto expiry) { return expiry > now; });
    if (position < usable || !known.next_at || now > *known.next_at + max_estimate_age) {
        return now;
    }
    return std::max(now, *known.next_at + known.interval * (position - usable));
}

void send_permits::set_wanted(const std::map<std::string, std::size_t, std::less<>>& wanted) {
    for (auto& [endpoint, known] : entries_) {
        const auto found = wanted.find(endpoint);
        known.wanted = found == wanted.end() ? 0 : found->second;
    }
}

std::vector<permit_request> send_permits::take_due_requests(time_point now) {
    std::vector<permit_request> due;
    for (auto& [endpoint, known] : entries_) {
        const bool overdue = !known.requested_at || now - *known.requested_at >= request_period;
        const bool repeats = overdue && known.wanted > 0;
        // Fewer calls wait if some were refused: permits for them would be lost.
        if (known.wanted == known.requested && !repeats) {
            continue;
        }
        known.requested = known.wanted;
        known.requested_at = now;
        if (known.wanted > 0) {
            known.unanswered_since = known.unanswered_since.value_or(now);
        }
        due.push_back({endpoint, known.wanted});
    }
    return due;
}

void send_permits::on_answer(std::string_view endpoint, std::size_t count, time_point requested_at,
                             milliseconds next_in, milliseconds interval, time_point now) {
    const auto found = entries_.find(endpoint);
    const auto expiry = requested_at + permit_lifetime;
    if (found == entries_.end() || expiry <= now) {
        return;
    }
    auto& known = found->second;
    known.unanswered_since.reset();
    known.next_at = now + next_in;
    known.interval = interval;
    known.requested -= std::min(count, known.requested);
    std::erase_if(known.permits, [now](auto at) { return at <= now; });
    known.permits.insert(known.permits.end(), count, expiry);
}

} // namespace dragonflystair::fleet
