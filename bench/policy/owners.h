#pragma once

#include "dragonflystair/policy/endpoint_scheduler.h"
#include "dragonflystair/policy/load_permits.h"

#include "fakes.h"

#include <ranges>

namespace bench {

/// Runs one endpoint.
struct owner {
    engine_fake& engine;
    event_queue& clock;
    explicit owner(engine_fake& fake) : engine(fake), clock(fake.clock) {}
    virtual ~owner() = default;
    virtual void submit(const call_ptr& item) = 0;
    virtual void finished(const call_ptr& item) = 0;
    [[nodiscard]] virtual policy::endpoint_load load() const = 0;
};

/// Holder of the permits. The delay to and from another region comes before the grant.
struct permit_holder {
    event_queue& clock;
    policy::load_permits permits;
    std::map<std::string, std::function<void(const policy::load_permit&)>> owners{};

    void poll() {
        for (const auto& permit : permits.poll(clock.now)) {
            clock.after(milliseconds{40}, [this, permit] { owners.at(permit.endpoint)(permit); });
        }
        clock.after(milliseconds{5}, [this] { poll(); });
    }
};

/// Runs `endpoint_scheduler`, with engine reports each second that are 0.5 s old.
struct scheduler_owner final : owner {
    std::string name;
    permit_holder& holder;
    policy::endpoint_scheduler scheduler{{.slots = slots, .batch_limit = batch_limit}};
    std::map<std::string, call_ptr> calls;
    std::map<std::string, std::uint64_t> numbers;

    scheduler_owner(engine_fake& fake, std::string id, permit_holder& permits)
        : owner(fake), name(std::move(id)), holder(permits) {
        holder.owners[name] = [this](const policy::load_permit& permit) {
            numbers[permit.adapter] = permit.number;
            scheduler.on_permit(permit.adapter, true, clock.now);
            pump();
        };
        report();
        tick();
    }

    void submit(const call_ptr& item) override {
        if (scheduler.submit(item->item, clock.now)) {
            return engine.refuse(item);
        }
        calls[item->item.id] = item;
        pump();
    }
    void finished(const call_ptr& item) override {
        scheduler.on_finished(item->item.id, policy::finish_kind::done, 0, clock.now);
        pump();
    }
    [[nodiscard]] policy::endpoint_load load() const override { return scheduler.load(clock.now); }

    void report() {
        const auto names = std::views::keys(engine.resident);
        const policy::engine_report seen{"1", {names.begin(), names.end()}, {}, 0, 0};
        clock.after(milliseconds{500}, [this, seen] { scheduler.on_report(seen, clock.now); });
        clock.after(milliseconds{1'000}, [this] { report(); });
    }

    void tick() {
        pump();
        clock.after(milliseconds{25}, [this] { tick(); });
    }

    void pump() {
        for (const auto& action : scheduler.poll(clock.now)) {
            std::visit([this](const auto& item) { carry_out(item); }, action);
        }
    }

    void carry_out(const policy::dispatch_action& action) {
        engine.start(calls.extract(action.request).mapped());
    }
    void carry_out(const policy::refuse_action& action) {
        engine.refuse(calls.extract(action.request).mapped());
    }
    void carry_out(const policy::want_permit_action& action) {
        holder.permits.request(name, action.adapter, action.urgency, clock.now);
    }
    void carry_out(const policy::drop_permit_action& action) {
        holder.permits.withdraw(name, action.adapter);
        holder.permits.give_back(std::exchange(numbers[action.adapter], 0), false, clock.now);
    }
    void carry_out(const policy::load_action& action) {
        engine.load(action.adapter, [this, adapter = action.adapter](bool loaded) {
            holder.permits.give_back(std::exchange(numbers[adapter], 0), !loaded, clock.now);
            scheduler.on_load_done(adapter, loaded, clock.now);
            pump();
        });
    }
    void carry_out(const policy::unload_action& action) {
        engine.resident.erase(action.adapter);
        clock.after(milliseconds{2}, [this, adapter = action.adapter] {
            scheduler.on_unload_done(adapter, true, clock.now);
            pump();
        });
    }
};

/// Baseline: one queue in order of arrival, loads on demand without permits, eviction of the least
/// recently used. A request that waits for its adapter lets later ones pass.
struct fifo_owner final : owner {
    using owner::owner;
    std::vector<call_ptr> queue{};
    std::map<std::string, time_point> used{};
    std::map<std::string, bool> loading{};

    void submit(const call_ptr& item) override {
        queue.push_back(item);
        // The caller has gone at its deadline.
        clock.after(item->item.deadline - clock.now, [this, item] {
            if (std::erase(queue, item) > 0) {
                engine.refuse(item);
            }
        });
        pump();
    }
    void finished(const call_ptr& /*item*/) override { pump(); }
    [[nodiscard]] policy::endpoint_load load() const override {
        return {.resident = {}, .running = engine.running.size(), .queued = queue.size()};
    }

    void pump() {
        std::erase_if(queue, [this](const call_ptr& item) {
            const auto& adapter = item->item.adapter;
            if (!engine.resident.contains(adapter)) {
                load_adapter(adapter);
                return false;
            }
            if (engine.running.size() >= batch_limit) {
                return false;
            }
            used[adapter] = clock.now;
            engine.start(item);
            return true;
        });
    }

    void load_adapter(const std::string& adapter) {
        if (loading.contains(adapter) || !make_room()) {
            return;
        }
        loading[adapter] = true;
        engine.load(adapter, [this, adapter](bool loaded) {
            used[adapter] = clock.now;
            clock.after(milliseconds{loaded ? 0 : 500}, [this, adapter] {
                loading.erase(adapter);
                pump();
            });
        });
    }

    bool make_room() {
        if (engine.resident.size() + loading.size() < slots) {
            return true;
        }
        std::string oldest;
        for (const auto& [adapter, since] : engine.resident) {
            const bool pinned = std::ranges::any_of(
                engine.running, [&](const auto& item) { return item->item.adapter == adapter; });
            if (!pinned && (oldest.empty() || used[adapter] < used[oldest])) {
                oldest = adapter;
            }
        }
        return engine.resident.erase(oldest) > 0;
    }
};

} // namespace bench
