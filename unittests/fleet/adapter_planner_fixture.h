#pragma once

#include "dragonflystair/fleet/adapter_planner.h"

#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

inline endpoint_record engine(const std::string& id) {
    auto record = sample_endpoint(id, "assistant", 4);
    record.models = {{"base", 1, {}}};
    return record;
}

/// Returns a configuration whose engines have `batch_slots` slots and three adapter slots.
inline configuration planned_configuration(std::size_t batch_slots) {
    auto current = sample_configuration(batch_slots);
    auto& engines = current.services["assistant"].engines;
    engines.weights_mb = 100;
    engines.adapter_slots = 3;
    engines.models = {{"base", 50, 1, milliseconds{600}}};
    return current;
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
        planner->configure(planned_configuration(4));
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
