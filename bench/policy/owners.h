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
    virtual void on_permit(const policy::load_permit& /*permit*/) {}
    [[nodiscard]] virtual policy::endpoint_load load() const = 0;
};

/// Runs `endpoint_scheduler`, with engine reports each second that are 0.5 s old.
struct scheduler_owner final : owner {
    std::string name;
    policy::load_permits& permits;
    policy::endpoint_scheduler scheduler{{.slots = slots, .batch_limit = batch_limit}};
    std::map<std::string, call_ptr> calls;
    std::map<std::string, std::uint64_t> numbers;

    scheduler_owner(engine_fake& fake, std::string id, policy::load_permits& holder)
        : owner(fake), name(std::move(id)), permits(holder) {
        clock.every(milliseconds{25}, [this] { pump(); });
        clock.every(milliseconds{1'000}, [this] {
            const auto names = std::views::keys(engine.resident);
            const policy::engine_report seen{"1", {names.begin(), names.end()}, {}, 0, 0};
            clock.after(milliseconds{500}, [this, seen] { scheduler.on_report(seen, clock.now); });
        });
    }

    void on_permit(const policy::load_permit& permit) override {
        numbers[permit.adapter] = permit.number;
        scheduler.on_permit(permit.adapter, true, clock.now);
        pump();
    }
    void submit(const call_ptr& item) override {
        if (scheduler.submit(item->item, clock.now)) {
            return engine.told.on_refused(item);
        }
        calls[item->item.id] = item;
        pump();
    }
    void finished(const call_ptr& item) override {
        const auto how = item->done ? policy::finish_kind::cancelled : policy::finish_kind::done;
        scheduler.on_finished(item->item.id, how, 0, clock.now);
        pump();
    }
    [[nodiscard]] policy::endpoint_load load() const override { return scheduler.load(clock.now); }

    void pump() {
        for (const auto& action : scheduler.poll(clock.now)) {
            std::visit([this](const auto& item) { carry_out(item); }, action);
        }
    }

    void carry_out(const policy::dispatch_action& action) {
        engine.start(calls.extract(action.request).mapped());
    }
    void carry_out(const policy::refuse_action& action) {
        engine.told.on_refused(calls.extract(action.request).mapped());
    }
    void carry_out(const policy::request_permit_action& action) {
        permits.request(name, action.adapter, action.urgency, clock.now);
    }
    void carry_out(const policy::release_permit_action& action) {
        permits.withdraw(name, action.adapter);
        permits.return_permit(std::exchange(numbers[action.adapter], 0), false, clock.now);
    }
    void carry_out(const policy::load_action& action) {
        engine.load(action.adapter, [this, adapter = action.adapter](bool loaded) {
            permits.return_permit(std::exchange(numbers[adapter], 0), !loaded, clock.now);
            scheduler.on_load_done(adapter, loaded, clock.now);
            pump();
        });
    }
    void carry_out(const policy::unload_action& action) {
        engine.resident.erase(action.adapter);
        scheduler.on_unload_done(action.adapter, true, clock.now);
        clock.after(milliseconds{2}, [this] { pump(); });
    }
};

/// Baseline: one queue in order of arrival, loads on demand without permits, eviction of the least
/// recently used. A request that waits for its adapter lets later ones pass.
struct fifo_owner final : owner {
    std::vector<call_ptr> queue;
    std::map<std::string, time_point> used, not_before; ///< Last use; next load.

    explicit fifo_owner(engine_fake& fake) : owner(fake) {
        clock.every(milliseconds{25}, [this] { pump(); });
    }
    void submit(const call_ptr& item) override {
        queue.push_back(item);
        pump();
    }
    void finished(const call_ptr& /*item*/) override { pump(); }
    [[nodiscard]] policy::endpoint_load load() const override {
        return {.resident = {}, .running = engine.running.size(), .queued = queue.size()};
    }

    void pump() {
        std::erase_if(queue, [this](const call_ptr& item) {
            const auto& adapter = item->item.adapter;
            const bool here = engine.resident.contains(adapter);
            const bool starts = here && engine.running.size() < batch_limit;
            const bool gone = clock.now >= item->item.deadline; // The caller does not wait longer.
            if (starts) {
                used[adapter] = clock.now;
                engine.start(item);
            } else if (gone) {
                engine.told.on_refused(item);
            } else if (!here && not_before[adapter] <= clock.now && make_room()) {
                load_adapter(adapter);
            }
            return starts || gone;
        });
    }

    void load_adapter(const std::string& adapter) {
        not_before[adapter] = time_point::max();
        ++loading;
        engine.load(adapter, [=, this](bool loaded) {
            --loading;
            used[adapter] = clock.now;
            not_before[adapter] = clock.now + milliseconds{loaded ? 0 : 500};
            pump();
        });
    }

    bool make_room() {
        if (engine.resident.size() + loading < slots) {
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

    std::size_t loading = 0;
};

} // namespace bench
