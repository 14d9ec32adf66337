#include "dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

void dispatcher::set_nodes(std::size_t count) {
    impl_->nodes = std::max<std::size_t>(count, 1);
}

std::size_t dispatcher::take_memory_skips() {
    return std::exchange(impl_->memory_skips, 0);
}

void dispatcher::adopt(pending_call call, std::string_view endpoint) {
    const auto target = impl_->endpoints.find(endpoint);
    const auto tokens = impl::tokens_of(call);
    if (target == impl_->endpoints.end() || tokens == 0 || impl_->calls.contains(call.number)) {
        return;
    }
    const auto number = call.number;
    open_call open;
    open.call = std::move(call);
    open.state = call_state::started;
    open.endpoint = std::string(endpoint);
    open.held_tokens = tokens;
    ++target->second.own.calls;
    target->second.own.held_tokens += tokens;
    impl_->calls.emplace(number, std::move(open));
    impl_->changed = true;
}

/// Returns whether a call does not fit on any engine of its service, even an empty one.
bool dispatcher::impl::exceeds_memory(const pending_call& call, const service_state& state) {
    return state.cache_tokens > 0 && tokens_of(call) > state.cache_tokens;
}

/// Returns whether the memory of an engine has room for a call. `held_tokens` are those of the
/// calls on the engine that this node knows.
bool dispatcher::impl::has_memory(endpoint& target, const pending_call& call,
                                  const service_state& state, std::size_t held_tokens,
                                  time_point now) {
    const auto tokens = tokens_of(call);
    if (state.cache_tokens == 0 || tokens == 0) {
        return true;
    }
    using placement = engine_memory::placement;
    const bool is_local = target.record.data_centre == layout.own();
    const auto by = !call.data_centre.empty() ? placement::lead
                    : is_local                ? placement::node
                                              : placement::foreign;
    const engine_memory memory{state.cache_tokens, held_tokens, target.own.held_tokens,
                               target.recent.total(now), nodes};
    const bool fits = memory.has_room(tokens, by);
    memory_skips += fits ? 0 : 1;
    return fits;
}

/// Counts a call that is placed on an endpoint.
void dispatcher::impl::hold_memory(open_call& open, endpoint& target, const service_state& state,
                                   time_point now) {
    if (!state.has_engines) {
        return;
    }
    open.held_tokens = tokens_of(open.call);
    target.own.held_tokens += open.held_tokens;
    if (open.call.data_centre.empty()) {
        target.recent.add(open.held_tokens, now);
    }
}

} // namespace dragonflystair::fleet
