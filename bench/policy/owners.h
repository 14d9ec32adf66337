#pragma once

#include "dragonflystair/policy/endpoint_scheduler.h"
#include "dragonflystair/policy/load_permits.h"

#include "fakes.h"

#include <ranges>

namespace bench {

/// Owner of one endpoint: queues its requests and dispatches them to the engine.
struct owner {
    engine_fake& engine;
    event_queue& clock;
    explicit owner(engine_fake& fake) : engine(fake), clock(fake.clock) {}
    virtual ~owner() = default;
    virtual void submit(const call_ptr& call) = 0;
    virtual void finished(const call_ptr& call) = 0;
    virtual void on_permit(const policy::load_permit& /*permit*/) {}
    [[nodiscard]] virtual policy::endpoint_load load() const = 0;
};

/// Owner that runs `endpoint_scheduler`. It receives an engine report every second, 0.5 s old.
struct scheduler_owner final : owner {
    std::string name;
    policy::load_permits& permits;
    policy::endpoint_scheduler scheduler{{.slots = slots, .batch_limit = batch_limit}};
    std::map<std::string, call_ptr> calls;
    std::map<std::string, std::uint64_t> permit_numbers;

    scheduler_owner(engine_fake& fake, std::string id, policy::load_permits& shared_permits)
        : owner(fake), name(std::move(id)), permits(shared_permits) {
        clock.every(milliseconds{25}, [this] { pump(); });
        clock.every(milliseconds{1'000}, [this] {
            const auto names = std::views::keys(engine.resident);
            const policy::engine_report report{"1", {names.begin(), names.end()}, {}, 0, 0};
            clock.after(milliseconds{500},
                        [this, report] { scheduler.on_report(report, clock.now); });
        });
    }

    void on_permit(const policy::load_permit& permit) override {
        permit_numbers[permit.adapter] = permit.number;
        scheduler.on_permit(permit.adapter, true, clock.now);
        pump();
    }
    void submit(const call_ptr& call) override {
        if (scheduler.submit(call->request, clock.now)) {
            return engine.listener.on_refused(call);
        }
        calls[call->request.id] = call;
        pump();
    }
    void finished(const call_ptr& call) override {
        const auto finish = call->done ? policy::finish_kind::cancelled : policy::finish_kind::done;
        scheduler.on_finished(call->request.id, finish, 0, clock.now);
        pump();
    }
    [[nodiscard]] policy::endpoint_load load() const override { return scheduler.load(clock.now); }

    void pump() {
        for (const auto& action : scheduler.poll(clock.now)) {
            std::visit([this](const auto& typed) { execute(typed); }, action);
        }
    }

    void execute(const policy::dispatch_action& action) {
        engine.start(calls.extract(action.request).mapped());
    }
    void execute(const policy::refuse_action& action) {
        engine.listener.on_refused(calls.extract(action.request).mapped());
    }
    void execute(const policy::request_permit_action& action) {
        permits.request(name, action.adapter, action.urgency, clock.now);
    }
    void execute(const policy::release_permit_action& action) {
        permits.withdraw(name, action.adapter);
        permits.return_permit(std::exchange(permit_numbers[action.adapter], 0), false, clock.now);
    }
    void execute(const policy::load_action& action) {
        engine.load(action.adapter, [this, adapter = action.adapter](bool loaded) {
            permits.return_permit(std::exchange(permit_numbers[adapter], 0), !loaded, clock.now);
            scheduler.on_load_done(adapter, loaded, clock.now);
            pump();
        });
    }
    void execute(const policy::unload_action& action) {
        engine.resident.erase(action.adapter);
        scheduler.on_unload_done(action.adapter, true, clock.now);
        clock.after(milliseconds{2}, [this] { pump(); });
    }
};

/// Baseline: one FIFO queue, loads on demand without permits, least recently used eviction.
/// Requests whose adapter is resident overtake requests that wait for a load.
struct fifo_owner final : owner {
    std::vector<call_ptr> queue;
    /// Time of the last use and earliest time of the next load, by adapter.
    std::map<std::string, time_point> last_used, next_load_at;

    explicit fifo_owner(engine_fake& fake) : owner(fake) {
        clock.every(milliseconds{25}, [this] { pump(); });
    }
    void submit(const call_ptr& call) override {
        queue.push_back(call);
        pump();
    }
    void finished(const call_ptr& /*call*/) override { pump(); }
    [[nodiscard]] policy::endpoint_load load() const override {
        return {.resident = {}, .running = engine.running.size(), .queued = queue.size()};
    }

    void pump() {
        std::erase_if(queue, [this](const call_ptr& call) {
            const auto& adapter = call->request.adapter;
            const bool is_resident = engine.resident.contains(adapter);
            const bool starts = is_resident && engine.running.size() < batch_limit;
            // The caller stops waiting at the deadline.
            const bool expired = clock.now >= call->request.deadline;
            if (starts) {
                last_used[adapter] = clock.now;
                engine.start(call);
            } else if (expired) {
                engine.listener.on_refused(call);
            } else if (!is_resident && next_load_at[adapter] <= clock.now && evict_if_full()) {
                load_adapter(adapter);
            }
            return starts || expired;
        });
    }

    void load_adapter(const std::string& adapter) {
        next_load_at[adapter] = time_point::max();
        ++loading;
        engine.load(adapter, [=, this](bool loaded) {
            --loading;
            last_used[adapter] = clock.now;
            next_load_at[adapter] = clock.now + milliseconds{loaded ? 0 : 500};
            pump();
        });
    }

    bool evict_if_full() {
        if (engine.resident.size() + loading < slots) {
            return true;
        }
        std::string least_recently_used;
        for (const auto& [adapter, since] : engine.resident) {
            const bool pinned = std::ranges::any_of(
                engine.running, [&](const auto& call) { return call->request.adapter == adapter; });
            if (!pinned && (least_recently_used.empty() ||
                            last_used[adapter] < last_used[least_recently_used])) {
                least_recently_used = adapter;
            }
        }
        return engine.resident.erase(least_recently_used) > 0;
    }

    std::size_t loading = 0;
};

} // namespace bench
