#include "dispatcher_impl.h"

#include <algorithm>
#include <vector>

namespace dragonflystair::fleet {

void dispatcher::balance(const balancing& options) {
    impl_->changed = true;
    impl_->learns_speed = options.learned_speed;
    impl_->random_choice.reset();
    if (options.seed) {
        impl_->random_choice.emplace(*options.seed);
    }
}

/// Returns the expected time on an endpoint relative to that on one of mean speed. Its health
/// weight does not count this again, since health compares with a forecast that includes it.
double dispatcher::impl::slowness(const endpoint& target, time_point now) const {
    return learns_speed ? speeds.slowness(target.record.id, now) : 1;
}

/// Learns from the time to the first event of a generation or the duration of a plain call.
void dispatcher::impl::learn_speed(const open_call& open, const endpoint& target, double took_ms,
                                   time_point now) {
    // The prompts that peers have sent are known late, so the forecast is exact only if most of the
    // prefill is the call's own.
    if (!learns_speed || open.pending_prefill_tokens < open.tokens_ahead || open.mean_ms <= 0) {
        return;
    }
    speeds.on_sample(open.endpoint, (took_ms - distance_ms(target)) / open.mean_ms, now);
}

/// Returns whether the call's endpoint is drawn. A lead knows its loads exactly, so it does not
/// draw.
bool dispatcher::impl::chooses_at_random(const open_call& open) const {
    return random_choice.has_value() && open.call.data_centre.empty();
}

/// Returns one of the choices that are as usable as the best of them.
choice dispatcher::impl::choose_at_random(std::span<const choice> usable,
                                          const service_state& state, time_point now) {
    const auto& best = *std::ranges::min_element(usable, std::less{});
    std::vector<const choice*> similar;
    std::vector<balanced_choice::candidate> candidates;
    for (const auto& option : usable) {
        if (option.awaits_permit != best.awaits_permit || option.late != best.late) {
            continue;
        }
        const auto& target = *option.target;
        const auto slots =
            state.has_engines && state.batch_slots > 0 ? state.batch_slots : target.record.slots;
        balanced_choice::candidate entry;
        entry.cost_ms = option.cost_ms;
        entry.cost_per_call_ms =
            option.mean_ms * option.slowness / static_cast<double>(std::max<std::size_t>(slots, 1));
        if (option.pending_prefill_tokens > 0) {
            entry.cost_per_call_ms +=
                option.slowness *
                state.speed.prefill_ms(static_cast<double>(option.pending_prefill_tokens));
        }
        for (const auto& [peer, reported] : target.peers) {
            entry.calls += reported.load.calls;
        }
        entry.report_age = now - target.peers_reported_at;
        entry.speed = 1 / option.slowness;
        similar.push_back(&option);
        candidates.push_back(entry);
    }
    return *similar[random_choice->choose(candidates)];
}

} // namespace dragonflystair::fleet
