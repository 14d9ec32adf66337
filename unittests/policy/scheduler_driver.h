#pragma once

#include "dragonflystair/policy/endpoint_scheduler.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::policy::testing {

using std::chrono::milliseconds;

/// Returns the time point this long after an arbitrary start.
inline support::time_point at(milliseconds since_start) {
    return support::time_point{std::chrono::hours{1}} + since_start;
}

inline request make_request(std::string id, std::string adapter,
                            work_class work = work_class::short_work,
                            support::time_point deadline = at(milliseconds{60'000})) {
    request req;
    req.id = std::move(id);
    req.adapter = std::move(adapter);
    req.work = work;
    req.deadline = deadline;
    return req;
}

inline request make_isolated(std::string id, std::string adapter) {
    auto req = make_request(std::move(id), std::move(adapter));
    req.isolated = true;
    return req;
}

/// Returns the actions of one type.
template <class Action> std::vector<Action> only(const std::vector<scheduler_action>& all) {
    std::vector<Action> found;
    for (const auto& action : all) {
        if (const auto* match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

/// A scheduler with a simulated clock, and helpers for common sequences of events.
struct scheduler_driver {
    explicit scheduler_driver(scheduler_limits limits) : scheduler(limits) {}

    endpoint_scheduler scheduler;
    milliseconds now{0};

    std::vector<scheduler_action> poll() { return scheduler.poll(at(now)); }
    std::optional<refusal> submit(request req) { return scheduler.submit(std::move(req), at(now)); }
    void finish(std::string_view id, finish_kind kind = finish_kind::done) {
        scheduler.on_finished(id, kind, 10, at(now));
    }
    void permit(std::string_view adapter) { scheduler.on_permit(adapter, true, at(now)); }
    void loaded(std::string_view adapter, bool success = true) {
        scheduler.on_load_done(adapter, success, at(now));
    }

    /// Makes the adapters resident through an engine report, as after an engine restart.
    void report(std::vector<std::string> resident, std::vector<std::string> active = {},
                std::string start = "run-1") {
        engine_report item;
        item.start = std::move(start);
        item.resident = std::move(resident);
        item.active = std::move(active);
        scheduler.on_report(item, at(now));
    }

    /// Polls and returns the ids of the dispatched requests.
    std::vector<std::string> dispatched() {
        std::vector<std::string> ids;
        for (const auto& action : only<dispatch_action>(poll())) {
            ids.push_back(action.request);
        }
        return ids;
    }

    /// Runs a request for `time` so that its lane has a measured service time.
    void measure(const std::string& adapter, work_class work, milliseconds time) {
        submit(make_request("measure", adapter, work));
        poll();
        now += time;
        finish("measure");
    }
};

} // namespace dragonflystair::policy::testing
