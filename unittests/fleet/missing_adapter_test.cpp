#include "samples.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::fleet;
using std::chrono::milliseconds;

constexpr milliseconds objective{600};
/// A load that started shortly before a call's deadline completes after it, but before a rejected
/// caller retries.
constexpr milliseconds late_load{750};

const model_name rare{"base", "rare"};

/// Calls whose adapter no engine has ready.
class missing_adapter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(missing_adapter_test);
    CPPUNIT_TEST(call_whose_adapter_is_loading_waits_for_it);
    CPPUNIT_TEST(call_is_rejected_when_its_load_takes_too_long);
    CPPUNIT_TEST(call_is_rejected_when_its_load_is_aborted);
    CPPUNIT_TEST(call_without_a_load_is_rejected_at_its_objective);
    CPPUNIT_TEST(rejection_reports_demand_with_its_retry_after);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        dispatcher_ = std::make_unique<dispatcher>(topology("north", {{"north", "n"}}));
        dispatcher_->configure(sample_configuration(4));
        auto record = sample_endpoint("engine", "assistant", 4);
        record.models = {{"base", 1, {}}};
        dispatcher_->update(record);

        auto call = sample_call(1, "assistant", start, objective);
        call.model = rare;
        call.load_deadline = start + 3 * objective / 2;
        dispatcher_->submit(call);
    }

    /// Guards against adapters that are ready some milliseconds after their calls were rejected.
    void call_whose_adapter_is_loading_waits_for_it() {
        CPPUNIT_ASSERT(dispatcher_->pump(start + objective / 2).empty());
        set(residency::loading);
        CPPUNIT_ASSERT(dispatcher_->pump(start + objective).empty());
        set(residency::ready);
        const auto decisions = dispatcher_->pump(start + late_load);
        CPPUNIT_ASSERT_EQUAL(std::string("engine"), decisions.at(0).endpoint);
    }

    void call_is_rejected_when_its_load_takes_too_long() {
        set(residency::loading);
        CPPUNIT_ASSERT(dispatcher_->pump(start + objective).empty());
        CPPUNIT_ASSERT(start + 3 * objective / 2 == dispatcher_->next_deadline());
        CPPUNIT_ASSERT(is_rejected(start + 3 * objective / 2));
    }

    void call_is_rejected_when_its_load_is_aborted() {
        set(residency::loading);
        CPPUNIT_ASSERT(dispatcher_->pump(start + objective).empty());
        set(residency::absent);
        CPPUNIT_ASSERT(is_rejected(start + objective + milliseconds{20}));
    }

    void call_without_a_load_is_rejected_at_its_objective() {
        CPPUNIT_ASSERT(dispatcher_->pump(start + objective - milliseconds{1}).empty());
        CPPUNIT_ASSERT(is_rejected(start + objective));
    }

    void rejection_reports_demand_with_its_retry_after() {
        const auto decisions = dispatcher_->pump(start + objective);
        const auto demand = dispatcher_->take_demand();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demand.size());
        CPPUNIT_ASSERT(demand.front().model == rare);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, demand.front().waiting);
        CPPUNIT_ASSERT(demand.front().retry_after == decisions.at(0).retry_after);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), demand.front().data_centre);
    }

private:
    void set(residency state) { dispatcher_->set_residency("engine", rare, state, 1); }

    bool is_rejected(support::time_point now) {
        const auto decisions = dispatcher_->pump(now);
        return decisions.size() == 1 && decisions.front().endpoint.empty() &&
               decisions.front().reason == refusal::no_adapter;
    }

    std::unique_ptr<dispatcher> dispatcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(missing_adapter_test);

} // namespace
