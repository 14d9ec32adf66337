#include "owned_endpoint.h"

#include <utility>

namespace dragonflystair::node {

namespace {

/// A permit with less lifetime left than this is returned unused, since the load could outlast it.
constexpr std::chrono::milliseconds min_permit_time_left{500};

} // namespace

void owned_endpoint::on_permit(const std::string& adapter, const held_permit& permit) {
    const auto now = node_context::now();
    const bool usable = permit.ends_at - now >= min_permit_time_left;
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

void owned_endpoint::release_permit(const std::string& adapter) {
    std::optional<held_permit> permit;
    {
        const std::lock_guard lock(mutex_);
        const auto found = permits_.find(adapter);
        if (found != permits_.end()) {
            permit = found->second;
            permits_.erase(found);
        }
    }
    if (permit) {
        services_.permits.return_permit(*permit, false);
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
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(permit.ends_at - now);
    const auto fence = services_.members.fence_if_held(setup_.id, now);
    bool loaded = false;
    if (fence == setup_.fence && time_left.count() > 0) {
        auto answer =
            co_await services_.engines.load(setup_.address, adapter, setup_.fence, time_left);
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

net::awaitable<bool> owned_endpoint::log_eviction_intent(std::string adapter) {
    const auto own = services_.members.own_session();
    if (!own) {
        co_return false;
    }
    ledger::record intent = ledger::eviction_intent{setup_.id, *own, adapter};
    const auto position = co_await services_.member_writer.append_and_wait(std::move(intent),
                                                                           std::chrono::seconds{2});
    if (!position) {
        services_.member_writer.append(ledger::eviction_done{setup_.id, *own, adapter});
    }
    co_return position.has_value();
}

net::awaitable<std::optional<bool>> owned_endpoint::request_unload(std::string adapter) {
    // Check the lease as late as possible, immediately before the request is sent.
    if (services_.members.fence_if_held(setup_.id, node_context::now()) != setup_.fence) {
        co_return false;
    }
    auto answer = co_await services_.engines.unload(setup_.address, adapter, setup_.fence,
                                                    engine_request_timeout);
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
    const bool may_unload = setup_.checks_fencing || co_await log_eviction_intent(adapter);
    if (may_unload) {
        unloaded = co_await request_unload(adapter);
    }
    // If the unload request got no response, its intent stays unresolved, since the request may
    // still take effect.
    if (may_unload && !setup_.checks_fencing && unloaded) {
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
