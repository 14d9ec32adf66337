#include "owned_endpoint.h"

#include <utility>

namespace dragonflystair::node {

namespace {

/// A permit with less time left than this is given back, since the load might outlast it.
constexpr std::chrono::milliseconds shortest_load{500};

} // namespace

void owned_endpoint::on_permit(const std::string& adapter, const held_permit& permit) {
    const auto now = node_context::now();
    const bool usable = permit.ends_at - now >= shortest_load;
    {
        const std::lock_guard lock(mutex_);
        if (usable) {
            permits_[adapter] = permit;
        }
        scheduler_.on_permit(adapter, usable, now);
    }
    if (!usable) {
        services_.permits.return_permit(permit, false);
    }
    pump();
}

void owned_endpoint::drop_permit(const std::string& adapter) {
    std::optional<held_permit> held;
    {
        const std::lock_guard lock(mutex_);
        const auto found = permits_.find(adapter);
        if (found != permits_.end()) {
            held = found->second;
            permits_.erase(found);
        }
    }
    if (held) {
        services_.permits.return_permit(*held, false);
        return;
    }
    services_.permits.withdraw(setup_.id, adapter);
}

void owned_endpoint::prefetch(const std::string& adapter, double urgency) {
    {
        const std::lock_guard lock(mutex_);
        scheduler_.prefetch(adapter, urgency, node_context::now());
    }
    pump();
}

net::awaitable<void> owned_endpoint::run_load(std::string adapter) {
    held_permit permit;
    {
        const std::lock_guard lock(mutex_);
        permit = permits_[adapter];
        permits_.erase(adapter);
    }
    const auto now = node_context::now();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(permit.ends_at - now);
    const auto fence = services_.members.fence_if_held(setup_.id, now);
    bool loaded = false;
    if (fence == setup_.fence && left.count() > 0) {
        auto answer = co_await services_.engines.load(setup_.address, adapter, setup_.fence, left);
        loaded = answer.has_value();
        services_.context.counters.increment("adapter_loads_total",
                                             loaded ? "loaded" : to_string(answer.error().kind));
    }
    services_.permits.return_permit(permit, !loaded);
    {
        const std::lock_guard lock(mutex_);
        scheduler_.on_load_done(adapter, loaded, node_context::now());
    }
    pump();
}

net::awaitable<bool> owned_endpoint::announce_eviction(std::string adapter) {
    const auto own = services_.members.own_session();
    if (!own) {
        co_return false;
    }
    ledger::record intent = ledger::eviction_intent{setup_.id, *own, adapter};
    const auto place = co_await services_.member_writer.append_and_wait(std::move(intent),
                                                                        std::chrono::seconds{2});
    if (!place) {
        services_.member_writer.append(ledger::eviction_done{setup_.id, *own, adapter});
    }
    co_return place.has_value();
}

net::awaitable<std::optional<bool>> owned_endpoint::order_unload(std::string adapter) {
    // The lease is checked last, right before the order leaves the process.
    if (services_.members.fence_if_held(setup_.id, node_context::now()) != setup_.fence) {
        co_return false;
    }
    auto answer =
        co_await services_.engines.unload(setup_.address, adapter, setup_.fence, state_timeout);
    services_.context.counters.increment(
        "adapter_unloads_total", answer.has_value() ? "unloaded" : to_string(answer.error().kind));
    if (answer.has_value()) {
        co_return true;
    }
    if (answer.error().kind == support::error_kind::unknown) {
        co_return std::nullopt;
    }
    co_return false;
}

net::awaitable<void> owned_endpoint::run_unload(std::string adapter) {
    std::optional<bool> unloaded = false;
    const bool announced = setup_.checks_fencing || co_await announce_eviction(adapter);
    if (announced) {
        unloaded = co_await order_unload(adapter);
    }
    // An intent whose order got no answer stays unresolved, since the order may still take effect.
    if (announced && !setup_.checks_fencing && unloaded) {
        if (const auto own = services_.members.own_session()) {
            services_.member_writer.append(ledger::eviction_done{setup_.id, *own, adapter});
        }
    }
    {
        const std::lock_guard lock(mutex_);
        scheduler_.on_unload_done(adapter, unloaded, node_context::now());
    }
    pump();
}

} // namespace dragonflystair::node
