#pragma once

#include "dragonflystair/fleet/adapter_planner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

inline constexpr support::time_point start{std::chrono::hours{1}};

inline endpoint_record engine(const std::string& id) {
    endpoint_record record;
    record.id = id;
    record.service = "assistant";
    record.address = "10.0.0.1:80";
    record.data_centre = "north";
    record.slots = 4;
    record.started_ms = 1;
    record.models = {{"base", 1, {}}};
    return record;
}

inline adapter_demand waiting_for(const std::string& adapter) {
    return {{"base", adapter}, "north", 1, 0, 0, {}};
}

/// Demand of calls that were rejected with this Retry-After for want of the adapter.
inline adapter_demand refused_for(const std::string& adapter, milliseconds retry_after) {
    return {{"base", adapter}, "north", 0, 0, 0, retry_after};
}

/// A planner with one engine that has three adapter slots.
class adapter_planner_fixture : public CppUnit::TestFixture {
public:
    void setUp() override {
        planner = std::make_unique<adapter_planner>();
        configuration current;
        service assistant;
        assistant.name = "assistant";
        assistant.has_engines = true;
        assistant.engines.batch_slots = 4;
        assistant.engines.weights_mb = 100;
        assistant.engines.adapter_slots = 3;
        assistant.engines.models = {{"base", 50, 1, milliseconds{600}}};
        current.services = {{"assistant", assistant}};
        planner->configure(current);
        planner->update(engine("a"));
        now = start;
    }

protected:
    void load(const std::string& adapter) {
        planner->on_demand(waiting_for(adapter), now);
        planner->on_outcome(planner->plan(now).at(0), order_outcome::accepted, now);
        now += milliseconds{300};
        planner->on_outcome(planner->plan(now).at(0), order_outcome::in_effect, now);
    }

    residency last_state(const std::string& adapter) {
        auto state = residency::absent;
        for (const auto& change : planner->take_changes()) {
            if (change.model.adapter == adapter) {
                state = change.state;
            }
        }
        return state;
    }

    std::unique_ptr<adapter_planner> planner;
    support::time_point now;
};

} // namespace dragonflystair::fleet
