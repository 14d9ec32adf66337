#include "dispatcher_impl.h"

namespace dragonflystair::fleet {

void dispatcher::balance(const balancing& options) {
    impl_->changed = true;
    impl_->learns_speed = options.learned_speed;
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

} // namespace dragonflystair::fleet
