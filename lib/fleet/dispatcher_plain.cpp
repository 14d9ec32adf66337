#include "dispatcher_impl.h"

#include <algorithm>
#include <iterator>

namespace dragonflystair::fleet {

/// Returns whether a call for a plain service that may be diverted would wait in this data centre
/// beyond the time at which it is diverted, so that it is diverted at once.
bool dispatcher::impl::diverts_at_once(const open_call& open, const service_state& state,
                                       std::size_t ahead, time_point now) {
    if (state.has_engines || !open.diverts_at) {
        return false;
    }
    std::size_t slots = 0;
    for (const auto* target : members(open.call.service)) {
        const bool usable = is_eligible(*target, open.call) && target->suspended_until <= now &&
                            !target->is_paused(now) && !open.call.excludes(target->record.id);
        slots += usable ? target->record.slots : 0;
    }
    if (slots == 0) {
        return true;
    }
    const double wait_ms =
        state.plain_call_ms * static_cast<double>(ahead + 1) / static_cast<double>(slots);
    return wait_ms > to_ms(*open.diverts_at - now);
}

std::string
dispatcher::plain_data_centre(const pending_call& call, std::string_view excluded,
                              const std::set<std::string, std::less<>>& full,
                              const std::map<std::string, std::size_t, std::less<>>& sent) const {
    const auto& layout = impl_->layout;
    std::map<std::string_view, std::size_t> slots;
    for (const auto* target : impl_->members(call.service)) {
        slots[target->record.data_centre] += target->record.slots;
    }
    const auto is_full = [&](const std::string& data_centre) {
        const auto used = sent.find(data_centre);
        return full.contains(data_centre) ||
               (used != sent.end() && used->second >= slots[data_centre]);
    };
    // Data centres with a free slot come before nearer ones without.
    std::map<std::pair<bool, topology::distance>, std::set<std::string_view>> candidates;
    for (const auto* target : impl_->members(call.service)) {
        const auto& data_centre = target->record.data_centre;
        if (data_centre != excluded && !call.excludes(target->record.id)) {
            candidates[{is_full(data_centre), layout.distance_to(data_centre)}].insert(data_centre);
        }
    }
    const bool all_full = candidates.empty() || candidates.begin()->first.first;
    if (all_full && !excluded.empty()) {
        return std::string(excluded);
    }
    if (candidates.empty()) {
        return layout.own();
    }
    const auto& best = candidates.begin()->second;
    // Spreads the calls over data centres at equal distance.
    const auto step = static_cast<std::ptrdiff_t>(call.number % best.size());
    return std::string(*std::next(best.begin(), step));
}

} // namespace dragonflystair::fleet
