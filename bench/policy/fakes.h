#pragma once

#include "demand.h"

namespace bench {

/// Receives the callbacks of engines and owners.
struct engine_listener {
    virtual ~engine_listener() = default;
    virtual void on_token(const call_ptr& call, double step_seconds) = 0;
    virtual void on_end(const call_ptr& call) = 0;
    virtual void on_refused(const call_ptr& call) = 0;
};

/// Fake weight store. It refuses loads above its rate; beyond the limits of concurrent loads and of
/// transit, loads that start become proportionally slower.
struct store_fake {
    event_queue& clock;
    const deployment& sizes;
    double available_loads = 0;
    time_point refilled{};
    std::size_t running = 0;

    /// Calls `done` with true when the load completes, or with false if it is refused.
    void load(const std::function<void(bool)>& done) {
        const double rate = sizes.loads_per_second;
        available_loads = std::min(rate, available_loads + seconds(clock.now - refilled) * rate);
        refilled = clock.now;
        if (available_loads < 1) {
            return clock.after(milliseconds{5}, [=] { done(false); });
        }
        --available_loads;
        const auto concurrent = double(++running);
        const double slowdown = std::max(1.0, concurrent / double(sizes.concurrent_loads)) *
                                std::max(1.0, concurrent / double(sizes.transit_limit));
        clock.after(to_duration(0.25 * slowdown), [=, this] {
            --running;
            done(true);
        });
    }
};

/// Fake engine with adapter slots and continuous batching that advances by steps.
struct engine_fake {
    event_queue& clock;
    store_fake& store;
    engine_listener& listener;
    std::map<std::string, time_point> resident{}; ///< Time at which each adapter became resident.
    std::vector<call_ptr> running{};
    std::multimap<std::string, time_point> loads{};
    double slowdown_factor = 1, running_seconds = 0, busy_seconds = 0;
    bool stepping = false;

    void load(const std::string& adapter, const std::function<void(bool)>& done) {
        store.load([=, this](bool loaded) {
            if (loaded) {
                loads.emplace(adapter, clock.now);
                resident[adapter] = clock.now;
            }
            done(loaded);
        });
    }

    void start(const call_ptr& call) {
        call->started = clock.now;
        call->stalled_until = resident.at(call->request.adapter);
        running.push_back(call);
        if (!std::exchange(stepping, true)) {
            step();
        }
    }

    void step() {
        const double step_seconds = seconds(step_time(running.size())) * slowdown_factor;
        busy_seconds += step_seconds;
        running_seconds += step_seconds * double(running.size());
        // Requests that join during a step run from the next step on.
        clock.after(to_duration(step_seconds), [this, step_seconds, batch = running] {
            for (const auto& call : batch) {
                listener.on_token(call, step_seconds);
            }
            std::erase_if(running, [](const auto& call) { return call->tokens == 0; });
            for (const auto& call : batch) {
                if (call->tokens == 0) {
                    listener.on_end(call);
                }
            }
            stepping = !running.empty();
            if (stepping) {
                step();
            }
        });
    }
};

} // namespace bench
